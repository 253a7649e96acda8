Feature: A keyed call is run at the holder of its key as at its entry

  # A hold by GET was run twice, as the holder of its key went by the method.
  Scenario Outline: The kind of the route decides whether a keyed call is repeated
    Given a daemon that holds an operation key
    When a call by <method> with the key comes from a route that is <kind>, with 7 attempts
    Then it is run as <kind>, with at most 7 attempts and for the caller service of its entry

    Examples:
      | method | kind           |
      | GET    | not idempotent |
      | POST   | not idempotent |
      | GET    | idempotent     |
      | POST   | idempotent     |

  Scenario Outline: An entry states the kind of the route to the holder, also by relay
    Given a daemon that holds an operation key
    When another daemon sends it a call by GET that is <kind>, <way>
    Then it is run as <kind>, with at most 7 attempts and for the caller service of its entry

    Examples:
      | kind           | way         |
      | not idempotent | directly    |
      | idempotent     | directly    |
      | not idempotent | by relay    |
      | idempotent     | by relay    |

  Scenario: A keyed request reaches its endpoint for the caller service of its own host
    Given a platform fleet of 2 daemons in makati, pasig
    And endpoints e1 of slot-desk beside d1
    And endpoints e2 of proof-vault beside d2
    And the operator has written configuration version 3
    And the platform fleet is ready
    When a key minted by d1 is sent with POST /hold/a to d2
    Then the client response has status 200, the id of its request and the stamp of e1
    And endpoint e1 has run the request for caller service proof-vault with at most 1500 ms left

  # Requests of the platform may carry any header field; one was refused with 422.
  Scenario: A key that no daemon minted is an ordinary header field on the platform
    Given a platform fleet of 2 daemons in makati, pasig
    And endpoints e1 of slot-desk beside d1
    And endpoints e2 of proof-vault beside d2
    And the operator has written configuration version 3
    And the platform fleet is ready
    When the key a1b2-c3 is sent with POST /hold/a to d2
    Then the client response has status 200, the id of its request and the stamp of e1
