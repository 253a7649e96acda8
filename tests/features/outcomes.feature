Feature: The outcome of a call is true under faults

  Scenario: Outcomes: late, doubled and misdirected attempts never run
    Given a fleet of 1 daemons in makati
    And targets e1 of slot-desk beside d1
    And the fleet is ready with the settings of bantayog
    When a fake entry sends these attempts of a hold to the guard of d1
      | do     | sequence | low_water | guard   | result              |
      | call   | 5        | 5         | current | answered            |
      | call   | 5        | 5         | current | unknown fenced      |
      | settle | 5        |           | current | ANSWERED            |
      | settle | 7        |           | current | NOT_RUN             |
      | call   | 7        | 5         | current | not_run fenced      |
      | call   | 8        | 8         | current | answered            |
      | call   | 6        | 5         | current | unknown fenced      |
      | settle | 6        |           | current | STARTED             |
      | call   | 9        | 8         | former  | not_run fenced      |
      | settle | 9        |           | former  | GUARD_GONE          |
    Then the outcomes ledger of e1 shows 2 runs

  Scenario: Outcomes: a hold that the link held back is fenced by its settlement
    Given a fleet of 1 daemons in makati
    And targets e1 of slot-desk beside d1
    And the fleet is ready with the settings of bantayog
    When a fake entry's hold is held back on its way to d1 until it is settled
    Then the fake entry's hold has the result "not_run fenced"
    And the outcomes ledger of e1 shows 0 runs

  Scenario: Outcomes: a guard that was frozen knows the age of a hold
    Given a fleet of 1 daemons in makati
    And targets e1 of slot-desk beside d1
    And the fleet is ready with the settings of bantayog
    When a fake entry's hold waits longer in the frozen d1 than it may
    Then the fake entry's hold has the result "not_run deadline"
    And the outcomes ledger of e1 shows 1 runs

  Scenario: Outcomes: the reply of a hold is lost between guard and entry
    Given outcomes link from d1 to d2
    And a fleet of 3 daemons in makati, pasig
    And targets e1 of slot-desk beside d2
    And the fleet is ready with the settings of bantayog
    When a caller sends one POST /slot-desk/hold to d1
    Then the status is 200
    When the way back from d2 to d1 is cut
    And a caller sends one POST /slot-desk/hold to d1
    Then the status is 200
    And the outcomes ledger of e1 shows 2 runs

  Scenario: Outcomes: the reply of a hold is lost and nobody can settle it
    Given outcomes link from d1 to d2
    And a fleet of 2 daemons in makati, pasig
    And targets e1 of slot-desk beside d2
    And the fleet is ready with the settings of bantayog
    When a caller sends one POST /slot-desk/hold to d1
    Then the status is 200
    When the way back from d2 to d1 is cut
    And a caller sends one POST /slot-desk/hold to d1
    Then the problem is "unknown" because of "deadline"
    And the outcomes ledger of e1 shows 2 runs

  Scenario: Outcomes: held-back holds are settled by a third daemon and never run late
    Given outcomes link from d1 to d2
    And a fleet of 3 daemons in makati, pasig
    And targets e1 of slot-desk beside d2
    And targets e2 of slot-desk beside d3
    And the fleet is ready with the settings of bantayog
    When 4 outcomes callers hold at d1 at the same time
    And the way from d1 to d2 is cut
    And 12 outcomes callers hold at d1 at the same time
    Then every outcomes hold was answered
    When the outcomes link from d1 to d2 is healed and passes on
    Then each outcomes hold was run at most once, and none that was not run

  Scenario: Outcomes: the reply of a hold is lost between target and guard
    Given a fleet of 2 daemons in makati, pasig
    And targets e1 of slot-desk beside d2
    And the fleet is ready with the settings of bantayog
    When a caller sends one GET /slot-desk/lookup to d1
    And target e1 drops its next 1 replies
    And a caller sends one DELETE /slot-desk/hold to d1
    Then the problem is "unknown" because of "connection_lost"
    And the outcomes ledger of e1 shows 1 runs of DELETE

  Scenario: Outcomes: a refusal after an attempt that may have run is no refusal
    Given a fleet of 2 daemons in makati, pasig
    And targets e1 of slot-desk beside d1
    And targets e2 of slot-desk beside d2
    And the fleet is ready with the settings of bantayog
    When target e1 drops its next 100 replies
    And target e2 is killed, and 8 outcomes callers look up at d1 in turn
    Then every outcomes lookup has the outcome "unknown"

  Scenario: Outcomes: the guard is killed after it sent a hold
    Given a fleet of 2 daemons in makati, pasig
    And outcomes targets e1 of slot-desk beside d2 with 400 ms
    And the fleet is ready with the settings of bantayog
    When a caller holds at d1, and d2 is killed once e1 runs the hold
    Then the problem is "unknown" because of "deadline"
    And the outcomes ledger of e1 shows 1 runs

  Scenario: Outcomes: the guard is frozen before it sent a hold, and thawed after the answer
    Given a fleet of 2 daemons in makati, pasig
    And targets e1 of slot-desk beside d2
    And the fleet is ready with the settings of bantayog
    When a caller sends one POST /slot-desk/hold to d1
    And daemon d2 is frozen by the outcomes test
    And 10 outcomes callers hold at d1 at the same time
    And daemon d2 is thawed by the outcomes test
    Then the outcomes ledger of e1 shows 1 runs

  Scenario: Outcomes: answers that end early are retried, or break off visibly
    Given a fleet of 2 daemons in makati, pasig
    And targets p1 of proof-vault beside d1
    And targets p2 of proof-vault beside d2
    And the fleet is ready with the settings of bantayog
    When target p1 cuts its next download after 20000 bytes
    And a caller sends 6 calls GET /proof-vault/download/50000 to each daemon
    Then all statuses are 200
    And all outcomes answers have 50000 bytes
    When target p1 cuts its next download after 2500000 bytes
    And target p2 cuts its next download after 2500000 bytes
    And a caller sends one GET /proof-vault/download/5000000 to d1
    Then the status is 0
    When target p1 cuts its next download after 2500000 bytes
    And target p2 cuts its next download after 2500000 bytes
    And a caller sends one GET /proof-vault/download/5000000?chunked to d1
    Then the status is 0

  Scenario: Outcomes: a caller that leaves takes its call away from the target
    Given a fleet of 2 daemons in makati, pasig
    And outcomes targets p1 of proof-vault beside d2 with 300000 ms
    And the fleet is ready with the settings of bantayog
    When an outcomes caller leaves d1 while p1 runs its lookup
    Then the outcomes ledger of p1 shows that its run was cancelled
    And the deadline that p1 was told is below the time limit of 60000 ms
