Feature: Records of the settings stream

  Scenario: Daemons recover from snapshots after retention has dropped older records
    Given a settings fleet with snapshot_interval_ms 1000 and 3 daemons in makati, pasig
    And operator amihan makes 6 changes at d1
    When the settings stream contains 2 snapshots of the current tree
    And member d3 is frozen
    And operator amihan makes 2 changes at d1
    And the settings stream contains 2 snapshots of the current tree
    And retention drops all records before the last snapshot
    And member d3 goes on
    Then within 10 s all daemons hold the same settings as d1
    When the settings stream contains 1 snapshots of the current tree
    And all daemons are killed and d4 is started alone in pasig
    Then within 10 s d4 holds the whole tree that d1 held

  Scenario: Concurrent and outdated snapshots do not corrupt the tree
    Given a settings fleet of 2 daemons in makati, pasig
    And operator amihan makes 3 changes at d1
    When the snapshots of d1 and d2 are appended concurrently
    And operator amihan makes 2 changes at d1
    And the older snapshot is appended again
    And retention drops 3 records
    And all daemons are killed and d3 is started alone in pasig
    Then within 10 s d3 holds the whole tree that d1 held

  Scenario: A daemon reads the log in several pages
    Given a settings fleet of 1 daemons in makati
    And operator amihan makes 7 changes at d1
    When the log returns 2 records at a time
    And daemon d2 is started in pasig without seeds
    Then within 10 s all daemons hold the same settings as d1

  Scenario: Invalid records are counted, and all daemons skip them
    Given a settings fleet of 3 daemons in makati, pasig
    And operator amihan makes 2 changes at d1
    When these invalid records are appended to the settings stream
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
    Then the operator gets the verdict accepted with exit code 0
    And within 10 s all daemons hold the same settings as d1
    And the count of invalid settings records at d1 is 8
    And all daemons of the settings fleet are running

  Scenario: Random records yield the same tree however they are folded
    Then a random stream yields the same tree folded whole, in parts and from snapshots

  Scenario: Random settings are inherited from the most specific place
    Then the setting of the most specific place applies in random trees
