Feature: Calls that may run only once go to few targets while most slots are free

  A target that begins to break connections loses the first such call that it gets. The
  fewer targets get them, the fewer are lost.

  Scenario Outline: The number of preferred targets follows their load
    Given an entry that prefers 4 of 10 targets with 8 slots, up to a use of 50 percent
    When it gets 10 reports of <running> running calls from them
    Then it prefers <count> of them

    Examples: at least two, so that one of them can fail
      | running | count |
      | 0       | 2     |
      | 4       | 4     |
      | 8       | 10    |

  Scenario: All entries prefer the same targets
    Given two entries that hear of targets in a different order, of which some leave
    Then both have the remaining targets in the same order of preference

  Scenario Outline: Holds are concentrated, lookups are not
    Given 16 model targets, and holds that <are> concentrated up to 75 percent
    And holds take 300 ms and have an objective of <objective_ms> ms
    When holds and lookups use a tenth of the slots for 12 s
    Then between <least> and <most> targets have run holds in the last 5 s
    And every target has run calls in the last 5 s
    And every hold is answered

    Examples: without slack to their objective, holds need the least busy targets
      | are     | objective_ms | least | most |
      | are not | 3000         | 15    | 16   |
      | are     | 3000         | 2     | 9    |
      | are     | 500          | 15    | 16   |

  Scenario: Fewer calls are lost at targets that drop connections
    Given targets that break the connections of calls for a third of the time
    When a quarter of their capacity is used with and without concentration
    Then at least 1.2 times as many calls that may run once are lost without it
