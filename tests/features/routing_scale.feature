Feature: Choosing an endpoint costs the same in a small and in a large service

  Scenario: The endpoints in use agree with a full evaluation after any sequence of changes
    Then after 40 random changes of endpoints, verdicts and paths the endpoints in use agree

  Scenario Outline: A choice looks at few endpoints however many there are
    Given an entry that knows <endpoints> endpoints of a service in 6 data centres
    When it chooses endpoints for 50 calls and informs their guards
    Then each choice looked at no more than 40 endpoints

    Examples:
      | endpoints |
      | 25        |
      | 400       |
      | 3000      |

  Scenario: A change of one daemon updates only the views of its own endpoints
    Given an entry that knows 400 endpoints of a service in 6 data centres
    When 1 daemon marks its endpoint as ejected
    Then 1 endpoint of the service was updated
    And that endpoint is not in use

  Scenario: Calls find the few free endpoints of their data centre
    Given an entry that knows 195 endpoints of a service in 6 data centres
    And all endpoints of its data centre but 8 are full
    When it chooses endpoints for 50 calls and informs their guards
    Then at least 45 of the choices are free endpoints of its data centre
