Feature: Replies of an attempt at the daemon of its caller

  Scenario: A caller that reads slowly gets an end when the attempt runs out of time
    Given an attempt that yields replies until its deadline in 200 ms
    When its replies are read only after 400 ms
    Then the replies end within 1000 ms

  Scenario: A download that a caller reads too slowly ends at its time limit
    Given a fleet of 1 daemons that drain for at most 3000 ms
    And target p1 of proof-vault beside d1 that responds after 20 ms
    And the fleet is ready with the settings of bantayog
    When a caller downloads 40000000 bytes from d1 within 1000 ms but reads only after 3000 ms
    Then the download ends before its announced length
    And it ended within 5000 ms

  Scenario: An attempt that is sent again under its ID runs once, in any order of arrival
    Given 2000 random orders of both copies, queries, ends of runs and restarts of the guard
    Then no order runs the attempt twice
    And no query says that an attempt did not run which ran before or after it

  Scenario Outline: The refusal of a repeat does not end the attempt that its guard runs: <reply>
    Given an attempt that its target answers late, and a repeat answered with <reply>
    Then the outcome of the attempt is <outcome>

    Examples:
      | reply                   | outcome  |
      | not_run not_connected   | answered |
      | unknown fenced          | answered |
      | unknown answer_not_kept | answered |
      | not_run fenced          | refuted  |
      | not_run overloaded      | refused  |

  Scenario Outline: A repeated attempt is not run only if the guard of the first copy says so: <reply>
    Given an attempt whose connection is lost, and a repeat answered with <reply>
    Then the outcome of the attempt is <outcome>

    Examples:
      | reply                   | outcome |
      | not_run not_connected   | lost    |
      | unknown fenced          | lost    |
      | unknown answer_not_kept | refuted |
      | not_run fenced          | refuted |
      | not_run overloaded      | refused |

  Scenario: Copies that are lost at once are sent less and less often, and without end
    Given an attempt whose copies are all lost after 1 ms
    When it is repeated as often as possible for 4000 ms
    Then between 10 and 16 copies were sent, one of them in the last 1500 ms
    And at most 2 of its readers are kept

  Scenario: Copies that get no reply are replaced, and few of them are open at a time
    Given an attempt whose copies get no reply
    When it is repeated as often as possible for 4000 ms
    Then between 10 and 16 copies were sent, one of them in the last 1500 ms
    And at most 8 copies were open at a time, the first one among them
