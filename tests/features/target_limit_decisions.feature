Feature: Decisions on the limit that a target names, without a network

  Scenario Outline: A guard admits no more calls than a limit of <limit> a second allows
    Given a guard whose target names a limit of <limit> calls a second
    When <calls> calls a second arrive at random times for 60 s
    Then at most <most> calls are admitted in any 4 s
    And at least <least> calls are admitted
    And each refused call is told to return within <retry_ms> ms

    Examples:
      | limit | calls | most | least | retry_ms |
      | 0     | 20    | 5    | 13    | 4000     |
      | 1.2   | 40    | 12   | 64    | 834      |
      | 50    | 200   | 305  | 2700  | 100      |

  Scenario: Calls that were not sent do not use up the limit
    Given a guard whose target names a limit of 1 calls a second
    When a call is admitted after 1 s and refused before it is sent
    Then the next call is admitted at once

  Scenario: Responses that arrive late do not end a limit
    Given a guard whose target names a limit of 1 calls a second
    When a response names no limit whose request was sent before the limit was named
    Then the limit is still 1 calls a second
    When a response names no limit whose request was sent after the limit was named
    Then there is no limit

  Scenario: A guard that has started again takes the limit from an entry, until a response
    Given a guard that has heard no response of its target
    When an entry repeats a limit of 2 calls a second with its attempt
    Then the limit is still 2 calls a second
    When a response names no limit whose request was sent after the limit was named
    And an entry repeats a limit of 2 calls a second with its attempt
    Then there is no limit

  Scenario: The entries of a fleet together choose a target about as often as its limit
    Given 25 entries that know that a target names a limit of 1.2 calls a second
    When each of them chooses a target for 4 calls a second for 60 s
    Then they choose the limited target between 36 and 144 times

  Scenario: The time that a share of a limit waits for a call does not delay later shares
    Given 1 entries that know that a target names a limit of 1.2 calls a second
    When each of them chooses a target for 2 calls a second for 60 s
    Then they choose the limited target between 66 and 78 times

  Scenario: An entry forgets a limit when the guard publishes that it has ended
    Given 1 entries that know that a target names a limit of 1.2 calls a second
    When the guard publishes a later verdict without a limit
    Then the entry does not treat the target as limited
    And the entry repeats no limit with its attempts

  Scenario Outline: The limits that a response may name: <text>
    Then a response that names "<text>" has the rate <rate>

    Examples:
      | text  | rate |
      | 1.5   | 1.5  |
      | 0     | 0.0  |
      |       | None |
      | -1    | None |
      | nan   | None |
      | inf   | None |
      | a lot | None |

  Scenario Outline: A target whose last calls were slow is chosen as often as it allows
    Given <entries> entries whose service has a target with a limit of <limit> calls a second and a latency of <latency_ms> ms
    When each entry has <rate> calls a second at random times for 100 s
    Then they chose the limited target at least <least> times

    Examples:
      | entries | limit | latency_ms | rate | least |
      | 4       | 1     | 8          | 10   | 90    |
      | 4       | 1     | 14         | 10   | 90    |
      | 25      | 1.2   | 40         | 4    | 105   |

  Scenario Outline: Entries whose calls a guard refuses use the limit nevertheless
    Given <entries> entries whose service has a target with a limit of <limit> calls a second and a latency of <latency_ms> ms
    When each entry has <rate> calls a second at random times for 100 s
    Then at least <least> calls are admitted
    And at most <most> calls are admitted in any 4 s
    And its guard refused at most <refused> calls

    Examples:
      | entries | limit | latency_ms | rate | least | most | refused |
      | 4       | 1     | 5          | 10   | 70    | 5    | 150     |
      | 4       | 1     | 14         | 10   | 70    | 5    | 150     |
      | 25      | 1.2   | 40         | 4    | 75    | 6    | 250     |

  Scenario: The entries near a target use its limit while those of other data centres do not
    Given 25 entries in 6 data centres whose service has a target with a limit of 1.2 calls a second
    When each of the 5 entries near it has 10 calls a second at random times for 100 s
    Then at least 80 calls are admitted
    And at most 6 calls are admitted in any 4 s
