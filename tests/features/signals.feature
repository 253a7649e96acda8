Feature: Callers get an answer or a refusal whatever signals the daemons get

  Scenario: Signals and changes that overlap leave no request of a caller without an end
    Given a fleet of 3 daemons that drain for at most 4000 ms
    And each daemon has a target of slot-desk that takes 250 ms and one of proof-vault that takes 500 ms
    And the fleet is ready with the settings of bantayog
    When daemons are stopped, started and suspended and settings change while persistent callers send holds
    Then no request that a target ran was left without an answer
    And each request without an answer ended within 300 ms
    And all refused requests were not run
    And each keyed request ran once at most
    And each answered keyed request gets the same answer again

  Scenario: SIGTERM and SIGHUP during startup leave no request of a caller without an end
    Given a fleet of 2 daemons that drain for at most 3000 ms
    And each daemon has a target of slot-desk that takes 250 ms and one of proof-vault that takes 500 ms
    And the fleet is ready with the settings of bantayog
    When d1 gets SIGTERM and then SIGHUP during 8 starts while persistent callers send holds
    Then d1 ended within 3000 ms of each SIGTERM
    And no request that a target ran was left without an answer
    And each request without an answer ended within 300 ms
    And all refused requests were not run
    And each keyed request ran once at most
    And each answered keyed request gets the same answer again

  # SIGHUP ended a daemon that was still importing its modules.
  Scenario: SIGHUP does not end a daemon that is still importing its modules
    Given a fleet of 1 daemons in makati
    And the fleet is ready with the settings of bantayog
    When d1 is stopped, and gets SIGHUP 3 times while it imports its modules again
    Then the fleet becomes ready again

  Scenario: The end of a guard leaves no request at another daemon without an answer
    Given a fleet of 3 daemons that drain for at most 3000 ms
    And each daemon has a target of slot-desk that takes 250 ms and one of proof-vault that takes 500 ms
    And the fleet is ready with the settings of bantayog
    When d3 is killed, terminated and started 6 times while persistent callers send holds to d1 and d2
    Then each request got an answer or a refusal
    And all refused requests were not run
    And each keyed request ran once at most
    And each answered keyed request gets the same answer again
