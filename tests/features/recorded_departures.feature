Feature: The log keeps the departures of targets that daemons have acknowledged

  # The departures were forgotten with the last daemon, and a late announcement brought a
  # target back that had left.
  Scenario Outline: A departure holds after all daemons have ended
    Given a daemon d1 with a log
    When an announcement of i-1, started at 1000 and numbered 7, arrives
    And the process of i-1 that started at 1000 <leaves>
    And all daemons end and <restarted> starts with the log
    And an announcement of i-1, started at 1000 and numbered 6, arrives late
    Then i-1 is <state>
    When an announcement of i-1, started at 2000 and numbered 1, arrives
    Then i-1 is announced as ready

    Examples:
      | leaves      | restarted | state                 |
      | deregisters | d1        | not announced         |
      | deregisters | d2        | not announced         |
      | drains      | d1        | announced as draining |

  Scenario: A departure holds after all daemons have ended twice
    Given a daemon d1 with a log
    When the process of i-1 that started at 1000 deregisters
    And all daemons end and d1 starts with the log
    And it writes its presence record
    And all daemons end and d1 starts with the log
    And an announcement of i-1, started at 1000 and numbered 6, arrives late
    Then i-1 is not announced

  # Its first record replaced that of its earlier process, which it had not read.
  Scenario: A daemon that starts while the log is away keeps the departures in its record
    Given a daemon d1 with a log
    When the process of i-1 that started at 1000 deregisters
    And all daemons end and d1 starts while the log is away
    And the log responds again, and the daemon writes its presence record
    Then the log holds departures of i-1
    When an announcement of i-1, started at 1000 and numbered 6, arrives late
    Then i-1 is not announced

  Scenario: A departure that was recorded long ago is ignored
    Given a daemon d1 with a log
    When the process of i-1 that started at 1000 deregisters
    And all daemons end and d1 starts with the log 121 s later
    And an announcement of i-1, started at 1000 and numbered 6, arrives late
    Then i-1 is announced as ready

  Scenario: A departure is written again after the log has come back from an older copy
    Given a daemon d1 with a log
    When the process of i-1 that started at 1000 deregisters
    And the log comes back without its last 1 records
    And it writes its presence record
    Then the log holds departures of i-1

  Scenario: Departures of one moment are written together
    Given a daemon d1 with a log
    When 40 processes deregister at once
    Then the log holds 40 departures after at most 2 writes

  # Only the latest 64 of them were recorded, and all were acknowledged.
  Scenario: All departures that a daemon has acknowledged are recorded
    Given a daemon d1 with a log
    When 200 processes deregister at once
    Then the log holds 200 departures after at most 2 writes

  # They were acknowledged and forgotten with the last daemon. A process whose departure is
  # not acknowledged within a second sends it again.
  Scenario Outline: A departure is not acknowledged before the log has it
    Given a daemon d1 with a log
    And a process of i-1 that is announced to d1
    When it <leaves> while the log does not respond
    Then that is refused with 503 within 900 ms
    When it <leaves> once more
    Then that is refused with 503 within 900 ms
    When the log responds again, and 3 s pass
    Then the log holds departures of i-1
    When it <leaves> once more
    Then that is acknowledged within 10 ms

    Examples:
      | leaves      |
      | deregisters |
      | drains      |

  Scenario: A departure is acknowledged as soon as a slow log has it
    Given a daemon d1 with a log
    And a process of i-1 that is announced to d1
    When it deregisters while the log takes 600 ms to respond
    Then that is acknowledged within 900 ms
    And the log holds departures of i-1

  # The announcement of a target that an operator drained was not taken for a new one.
  Scenario: The announcement that a target drains is recorded after an operator drained it
    Given a daemon d1 with a log
    And a process of i-1 that is announced to d1
    And the operator drains i-1
    When it drains once more
    Then that is acknowledged within 900 ms
    And the log holds departures of i-1

  # A release of many targets must leave the log to others.
  Scenario: A daemon of a large fleet that has written much writes the next ones together
    Given a daemon d1 with a log, in a fleet of 400 daemons
    When 2 processes deregister one after the other, and 3 more at once
    Then the log has all 5 departures within 2.5 s, after at most 3 writes
