Feature: Targets whose daemon is about to end serve calls that find no free slot elsewhere

  Scenario: A call that finds no free slot is run beside a daemon in its notice period
    Given an entry with 2 targets in service and one whose daemon drains
    When it makes a call that both targets in service refuse as overloaded
    Then it has asked the targets e0, e1 and e2 for a free slot
    And the call is answered

  Scenario: A call that finds a free slot in service is not sent to a daemon that drains
    Given an entry with 2 targets in service and one whose daemon drains
    When it makes 50 calls that every target answers
    Then e2 was not asked

  Scenario Outline: A call that finds no free slot at all waits in service
    Given an entry with 2 targets in service and one whose daemon drains
    When it makes a call that all refuse, and e2 as <reason>
    Then it has asked the targets e0, e1 and e2 for a free slot
    And it has then asked e0 and e1, but not e2, for a place in their queues
    And the call is not run, as overloaded

    Examples:
      | reason     |
      | overloaded |
      | draining   |

  Scenario Outline: Targets beside a daemon that drains are asked only while they may have a slot
    Given an entry with 2 targets in service and one whose daemon drains
    And <state>
    When it makes a call that both targets in service refuse as overloaded
    Then e2 was not asked

    Examples:
      | state                                         |
      | it has heard of the drain 3 s ago             |
      | e2 has refused a call as draining             |
      | e2 is ejected                                 |
      | e2 is on trial                                |
      | the path to e2 is broken                      |
      | e2 has reported calls that wait for a slot    |
      | e2 is in another data centre                  |

  Scenario: A daemon that has started again gives a new notice
    Given an entry with 2 targets in service and one whose daemon drains
    And e2 has refused a call as draining
    When the daemon of e2 is in service again and drains once more
    And it makes a call that both targets in service refuse as overloaded
    Then it has asked the targets e0, e1 and e2 for a free slot

  Scenario: A call that may run only once does not ask a target that is known to be in doubt
    Given an entry with 2 targets in service and one whose daemon drains
    And e2 has reported that it is in doubt
    When it makes a call that may run only once and that both targets in service refuse
    Then e2 was not asked

  Scenario: A call that may be repeated asks a target that is known to be in doubt
    Given an entry with 2 targets in service and one whose daemon drains
    And e2 has reported that it is in doubt
    When it makes a call that both targets in service refuse as overloaded
    Then it has asked the targets e0, e1 and e2 for a free slot

  Scenario: A refusal beside a daemon that drains does not let a call accept doubt earlier
    Given an entry with 2 targets in service and one whose daemon drains
    When it makes a call that may run only once, which e2 refuses as in doubt
    Then the refusal is not counted as one of a target in doubt
