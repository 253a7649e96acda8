Feature: Quotas and acknowledged departures hold whatever happens to daemons and links

  # The platform allows (14 x 5 + 10) x 1.1 + 20 calls in 5 s, and 2 s after a departure.
  # Faults overlap: cuts from other daemons and from the log, a slow log, ends of some or
  # all processes, drains and freezes. Heartbeats of targets that have left come late.
  Scenario Outline: Random faults under calls, with targets that leave
    Given 4 daemons with links between them and to the log, and a quota of 14 calls a second
    When faults happen in 2 series with calm times between, with seed <seed>
    Then at most 108 calls of the account were sent and run in any 5 s
    And no call reached a target 2 s after its acknowledged departure in a calm time

    Examples:
      | seed |
      | 6501 |
      | 6502 |
