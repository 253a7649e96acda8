Feature: A call is not given up before it has asked for a place in a queue

  It answers the load of a service of which many targets are full, in doubt or ejected
  at a time: a call that may run only once meets each kind of refusal several times
  before it waits, although other targets have room in their queues.

  Scenario: Refusals for load and doubt leave the call its attempts at other targets
    Given an entry with 12 targets and a call that may run only once
    When its attempts are refused as in_doubt, in_doubt, ejected, in_doubt, ejected, overloaded, ejected, overloaded, and the next one is answered
    Then the call has made 9 attempts and is answered
    And the last attempt asked for a place in a queue

  Scenario Outline: A call that all targets refuse as <reason> ends
    Given an entry with 12 targets and a call that may run only once
    When all its attempts are refused as <reason>
    Then the call has made <count> attempts and is not run

    Examples:
      | reason     | count |
      | ejected    | 8     |
      | overloaded | 4     |

  Scenario: A call that all targets refuse as in doubt, then as overloaded, ends
    Given an entry with 12 targets and a call that may run only once
    When its attempts are refused as in_doubt while they avoid doubt, and as overloaded after that
    Then the call has made 7 attempts and is not run

  Scenario Outline: Only a call that can be sent again is refused by targets without a free slot
    Given an entry with 12 targets and a call that may run only once
    And its body <kind>
    When its attempts are refused as overloaded unless they wait for a slot
    Then the call has made <count> attempts and is answered

    Examples:
      | kind                 | count |
      | can be sent again    | 3     |
      | cannot be sent again | 1     |
