Feature: Records of the settings stream

  Scenario: Retention drops what snapshots replace
    Given a settings fleet with snapshot_interval_ms 1000 of 3 daemons in makati, pasig
    And operator amihan makes 6 changes at d1
    When the settings stream holds 2 snapshots of the present tree
    And member d3 is frozen
    And operator amihan makes 2 changes at d1
    And the settings stream holds 2 snapshots of the present tree
    And retention drops all records before the last snapshot
    And member d3 goes on
    Then within 10 s all daemons hold the same settings as d1
    When the settings stream holds 1 snapshots of the present tree
    And all daemons are ended and d4 is started alone in pasig
    Then within 10 s d4 holds the whole tree that d1 held

  Scenario: Two snapshots at once, and one that is out of date, do no harm
    Given a settings fleet of 2 daemons in makati, pasig
    And operator amihan makes 3 changes at d1
    When d1 and d2 append the snapshots that they hold at once
    And operator amihan makes 2 changes at d1
    And the older snapshot is appended once more
    And retention drops 3 records
    And all daemons are ended and d3 is started alone in pasig
    Then within 10 s d3 holds the whole tree that d1 held

  Scenario: The log is read in small pieces
    Given a settings fleet of 1 daemons in makati
    And operator amihan makes 7 changes at d1
    When the log returns 2 records at a time
    And daemon d2 is started in pasig without seeds
    Then within 10 s all daemons hold the same settings as d1

  Scenario: Bad records are counted and passed over alike
    Given a settings fleet of 3 daemons in makati, pasig
    And operator amihan makes 2 changes at d1
    When these bad records are appended to the settings stream
      | record                 |
      | random bytes           |
      | empty                  |
      | unknown kind           |
      | unknown field          |
      | place that is none     |
      | value out of range     |
      | edit without value     |
      | change of 2 MiB        |
      | snapshot of the future |
    And operator habagat sets time_limit_ms of slot-desk to 650 at d2
    Then the operator is told accepted with exit code 0
    And within 10 s all daemons hold the same settings as d1
    And the count of invalid settings records at d1 is 8
    And all daemons of the settings fleet are alive

  Scenario: The fold of random records
    Then a random stream is folded alike whole, in pieces, and from snapshots

  Scenario: Inheritance of random settings
    Then the nearest setting wins in random trees
