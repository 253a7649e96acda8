Feature: A request that crashes the targets that run it is held back

  Scenario: A lookup that crashes its targets reaches few of them after the third crash
    Given a fleet of 3 daemons in makati
    And 2 targets of slot-desk beside each daemon that crash on "crash" and restart after 2 s
    And the fleet is ready with the settings of bantayog
    And harmless lookups of slot-desk are sent all the time
    When a caller repeats the crashing GET until 11 s after it has crashed 3 targets
    Then calls sent later than 3 s after the third crash reached targets at most 3 times
    And at most 5 targets have crashed
    And all later calls that reached no target were refused with 503 and a time to retry
    And half of these refusals came within 125 ms

  Scenario: A hold that crashes its targets reaches few of them after the third crash
    Given a fleet of 3 daemons in makati
    And 2 targets of slot-desk beside each daemon that crash on "crash" and restart after 2 s
    And the fleet is ready with the settings of bantayog
    And harmless lookups of slot-desk are sent all the time
    When a caller repeats the crashing POST until 11 s after it has crashed 3 targets
    Then calls sent later than 3 s after the third crash reached targets at most 3 times
    And at most 5 targets have crashed
    And all later calls that reached no target were refused with 503 and a time to retry
    And half of these refusals came within 125 ms

  Scenario: Lookups that ran beside a crashing request are served after it
    Given a fleet of 3 daemons in makati
    And 2 targets of slot-desk beside each daemon that crash on "crash" and restart after 2 s
    And the fleet is ready with the settings of bantayog
    And harmless lookups of slot-desk are sent all the time
    When a caller repeats the crashing GET until 11 s after it has crashed 3 targets
    And the caller stops and all targets are back
    Then each daemon answers each harmless lookup
    And no harmless lookup was refused as quarantined

  Scenario: A daemon that restarts holds back a request that crashed targets before
    Given a fleet of 3 daemons in makati
    And 2 targets of slot-desk beside each daemon that crash on "crash" and restart after 2 s
    And the fleet is ready with the settings of bantayog
    When a caller repeats the crashing GET until 3 s after it has crashed 3 targets
    And the caller stops and all targets are back
    And daemon d1 is killed, starts again and is ready
    And a caller repeats the crashing GET at d1 for 8 s
    Then calls sent later than 3 s after d1 was ready reached targets at most 3 times

  Scenario: Another caller's request to the path of a crashing one is not held back
    Given a fleet of 3 daemons in makati
    And 2 targets of slot-desk beside each daemon that crash on "crash" of caller "first"
    And the fleet is ready with the settings of bantayog
    When caller "first" repeats the crashing GET until 3 s after it has crashed 3 targets
    And the caller stops and all targets are back
    Then caller "second" gets an answer to the same GET 4 times from each daemon

  Scenario: A slow lookup is served again after targets were killed from outside
    Given a fleet of 3 daemons in makati
    And 2 slow targets of slot-desk beside each daemon that restart after 2 s
    And the fleet is ready with the settings of bantayog
    And one slow lookup of slot-desk is sent all the time
    When 3 targets in turn are killed with SIGKILL while they run it
    And all targets are back
    Then the slow lookup is answered each time during 3 s

  Scenario: A lookup on the platform that crashes its endpoints reaches few of them
    Given a platform fleet of 3 daemons with caller service slot-desk
    And 2 endpoints of slot-desk beside each daemon that crash on "crash" and restart after 2 s
    And the operator has written configuration version 3
    And the platform fleet is ready
    And harmless lookups of the platform are sent all the time
    When a caller repeats the crashing GET until 11 s after it has crashed 3 targets
    Then calls sent later than 3 s after the third crash reached targets at most 3 times
    And at most 5 targets have crashed
    And all later calls that reached no target were refused with 503 and a time to retry
    And half of these refusals came within 125 ms
