Feature: A guard learns how many calls a target can run at a time

  Scenario Outline: A target that slows down when nearly full gets fewer calls at a time
    Given a target with 8 slots, whose calls take <factor> times as long with all of them
    When it is full for 60 s
    Then it gets between <least> and <most> calls at a time

    Examples: a small loss of speed is worth less than a slot
      | factor | least | most |
      | 1.0    | 8     | 8    |
      | 1.2    | 8     | 8    |
      | 3.0    | 5     | 6    |

  Scenario: A target that is never full keeps its slots
    Given a target with 8 slots, whose calls take 3.0 times as long with all of them
    When it runs 5 calls at a time for 60 s
    Then it gets between 8 and 8 calls at a time

  Scenario: Other targets that become slower do not limit a target
    Given a target with 8 slots, whose calls take 1.0 times as long with all of them
    When it is full for 4 s, in which the median of its service rises to 6.0 times
    Then it gets between 8 and 8 calls at a time

  Scenario: A target that no longer slows down gets its slots back
    Given a target with 8 slots, whose calls take 3.0 times as long with all of them
    When it is full for 20 s
    And its speed no longer depends on its calls
    And it is full for 300 s
    Then it gets between 8 and 8 calls at a time

  Scenario Outline: More calls at a time are started when the limit rises
    Given a target that runs 4 calls at a limit of 4, with 3 calls that wait
    When the limit rises to <limit> and a call ends
    Then the target runs <running> calls

    Examples:
      | limit | running |
      | 4     | 4       |
      | 6     | 6       |
      | 3     | 3       |

  Scenario Outline: A target whose limit is no longer wanted gets its slots back
    Given a target with 8 slots, whose calls take 3.0 times as long with all of them
    When it is full for 20 s
    And a call is answered while learn_concurrency is <setting>
    Then it gets between <least> and <most> calls at a time

    Examples:
      | setting | least | most |
      | on      | 5     | 6    |
      | off     | 8     | 8    |

  Scenario: Callers are served better near the capacity
    Given a fleet whose targets slow down when nearly full
    When nine tenths of its capacity are used with and without learned limits
    Then the worth without them is at least 0.05 lower
