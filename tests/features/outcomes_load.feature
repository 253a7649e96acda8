Feature: Outcomes stay correct under load and during restarts

  Scenario: Outcomes: a rolling restart cuts and refuses nothing
    Given a fleet of 3 daemons in makati, pasig
    And targets with ledger files e1, e2, e3 beside d1, d2, d3
    And targets with ledger files e4, e5, e6 beside d1, d2, d3
    And the fleet is ready with the settings of bantayog
    When load callers send lookups and holds to all daemons
    And each daemon is restarted in turn under load
    And each target is drained and restarted in turn under load
    And the load callers stop
    Then every call under load was answered
    And the call history agrees with the ledgers of the targets

  Scenario: Outcomes: a daemon that shuts down answers its calls in flight first
    Given a fleet of 2 daemons in makati, pasig
    And target p1 of proof-vault beside d2 that responds after 5000 ms
    And the fleet is ready with the settings of bantayog
    When d1 and d2 get SIGTERM while p1 runs a hold from each of them
    Then both holds were answered and the daemons exited with code 0

  Scenario: Outcomes: a daemon whose calls do not end is gone in time
    Given a fleet of 2 daemons that drain for at most 3000 ms
    And target p1 of proof-vault beside d1 that responds after 300000 ms
    And the fleet is ready with the settings of bantayog
    When d1 gets SIGTERM while p1 runs a hold from d1 and one from d2
    Then d1 exited with code 0 within 3000 ms

  Scenario: Outcomes: a second SIGTERM ends a daemon at once
    Given a fleet of 2 daemons in makati, pasig
    And target p1 of proof-vault beside d2 that responds after 300000 ms
    And the fleet is ready with the settings of bantayog
    When d1 gets SIGTERM twice while p1 runs a hold from d1
    Then its exit code is 130

  Scenario: Outcomes: the memory that a guard uses for attempts is bounded
    Given an empty attempt table
    When 20000 attempts of entry d9 end with answers of 4000 bytes and are never acknowledged
    Then the attempt table holds at most 4096 attempts and 1048576 bytes
    And the attempt table refuses to admit the first attempt again
    When entry d9 is pruned from the attempt table
    Then the attempt table holds at most 0 attempts and 1048576 bytes
    And the attempt table refuses to admit the first attempt again

  Scenario: Outcomes: overload is refused quickly while capacity stays in use
    Given a fleet of 2 daemons in makati, pasig
    And target l1 of lot-register beside d1 that responds after 200 ms
    And target l2 of lot-register beside d2 that responds after 200 ms
    And the fleet is ready with the settings of malabar
    When load callers send 200 lookups per second to lot-register for 6 s
    Then at least 70 percent of 50 answers per second were received
    And the median refusal took less than 500 ms and all have Retry-After
    And the retry budget of 20 percent of the calls is kept

  Scenario: Outcomes: random faults, together and twice
    Given links between daemons d1, d2, d3
    And a fleet of 3 daemons in makati, pasig
    And targets with ledger files e1, e2, e3 beside d1, d2, d3
    And the fleet is ready with the settings of bantayog
    When random faults are injected under load
    Then the call history agrees with the ledgers of the targets
    And some calls under load were answered

  Scenario Outline: Outcomes: the history checker reports <fault>
    Given a call history without violations
    When <fault> is added to the call history
    Then the history checker reports only a violation of "<guarantee>"

    Examples:
      | fault                        | guarantee                |
      | a hold that ran twice        | at most once             |
      | a refused hold that ran      | not run means not run    |
      | an answer without a run      | an answer means a run    |
      | an answer of another caller  | the caller's own answer  |
      | a run that nobody sent       | nobody sent it           |
