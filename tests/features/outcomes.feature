Feature: Outcomes reported to callers stay correct under faults

  Scenario: Outcomes: late, duplicate and misdirected attempts never run
    Given a fleet of 1 daemons in makati
    And targets e1 of slot-desk beside d1
    And the fleet is ready with the settings of bantayog
    When a simulated entry sends these attempts of a hold to the guard of d1
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
    Then the ledger of e1 lists 2 runs

  Scenario: Outcomes: a hold delayed by the network is fenced once it has been settled
    Given a fleet of 1 daemons in makati
    And targets e1 of slot-desk beside d1
    And the fleet is ready with the settings of bantayog
    When a simulated entry's hold reaches d1 only after it is settled
    Then the simulated entry's hold has the result "not_run fenced"
    And the ledger of e1 lists 0 runs

  Scenario: Outcomes: a guard that was suspended rejects a hold past its send deadline
    Given a fleet of 1 daemons in makati
    And targets e1 of slot-desk beside d1
    And the fleet is ready with the settings of bantayog
    When a simulated entry's hold waits in suspended d1 beyond its send deadline
    Then the simulated entry's hold has the result "not_run deadline"
    And the ledger of e1 lists 1 runs

  Scenario: Outcomes: a hold whose reply is lost between guard and entry is settled elsewhere
    Given a fault-injecting link from d1 to d2
    And a fleet of 3 daemons in makati, pasig
    And targets e1 of slot-desk beside d2
    And the fleet is ready with the settings of bantayog
    When a caller sends one POST /slot-desk/hold to d1
    Then the status is 200
    When the way back from d2 to d1 is cut
    And a caller sends one POST /slot-desk/hold to d1
    Then the status is 200
    And the ledger of e1 lists 2 runs

  Scenario: Outcomes: a hold whose reply is lost is unknown if no daemon can settle it
    Given a fault-injecting link from d1 to d2
    And a fleet of 2 daemons in makati, pasig
    And targets e1 of slot-desk beside d2
    And the fleet is ready with the settings of bantayog
    When a caller sends one POST /slot-desk/hold to d1
    Then the status is 200
    When the way back from d2 to d1 is cut
    And a caller sends one POST /slot-desk/hold to d1
    Then the problem is "unknown" because of "deadline"
    And the ledger of e1 lists 2 runs

  Scenario: Outcomes: delayed holds are settled by a third daemon and never run late
    Given a fault-injecting link from d1 to d2
    And a fleet of 3 daemons in makati, pasig
    And targets e1 of slot-desk beside d2
    And targets e2 of slot-desk beside d3
    And the fleet is ready with the settings of bantayog
    When 4 callers send holds to d1 concurrently
    And the way from d1 to d2 is cut
    And 12 callers send holds to d1 concurrently
    Then every concurrent hold was answered
    When the link from d1 to d2 is restored and forwards the delayed data
    Then each hold ran at most once, and no hold reported as not run ran

  Scenario: Outcomes: a hold whose response is lost between target and guard is unknown
    Given a fleet of 2 daemons in makati, pasig
    And targets e1 of slot-desk beside d2
    And the fleet is ready with the settings of bantayog
    When a caller sends one GET /slot-desk/lookup to d1
    And target e1 drops its next 1 responses
    And a caller sends one DELETE /slot-desk/hold to d1
    Then the problem is "unknown" because of "connection_lost"
    And the ledger of e1 lists 1 runs of DELETE

  Scenario: Outcomes: a call refused after an attempt that may have run is unknown
    Given a fleet of 2 daemons in makati, pasig
    And targets e1 of slot-desk beside d1
    And targets e2 of slot-desk beside d2
    And the fleet is ready with the settings of bantayog
    When target e1 drops its next 100 responses
    And target e2 is killed, and 8 lookups are sent to d1 in sequence
    Then every lookup has the outcome "unknown"

  Scenario: Outcomes: a hold whose guard is killed after sending it is unknown
    Given a fleet of 2 daemons in makati, pasig
    And target e1 of slot-desk beside d2 that responds after 400 ms
    And the fleet is ready with the settings of bantayog
    When a caller sends a hold to d1, and d2 is killed once e1 runs it
    Then the problem is "unknown" because of "connection_lost"
    And the ledger of e1 lists 1 runs

  Scenario: Outcomes: a guard suspended before sending a hold does not run it after the call ended
    Given a fleet of 2 daemons in makati, pasig
    And targets e1 of slot-desk beside d2
    And the fleet is ready with the settings of bantayog
    When a caller sends one POST /slot-desk/hold to d1
    And daemon d2 is suspended with SIGSTOP
    And 10 callers send holds to d1 concurrently
    And daemon d2 is resumed with SIGCONT
    Then the ledger of e1 lists 1 runs

  Scenario: Outcomes: truncated answers are retried or visibly aborted
    Given a fleet of 2 daemons in makati, pasig
    And targets p1 of proof-vault beside d1
    And targets p2 of proof-vault beside d2
    And the fleet is ready with the settings of bantayog
    When target p1 truncates its next download after 20000 bytes
    And a caller sends 6 calls GET /proof-vault/download/50000 to each daemon
    Then all statuses are 200
    And all response bodies have 50000 bytes
    When target p1 truncates its next download after 2500000 bytes
    And target p2 truncates its next download after 2500000 bytes
    And a caller sends one GET /proof-vault/download/5000000 to d1
    Then the status is 0
    When target p1 truncates its next download after 2500000 bytes
    And target p2 truncates its next download after 2500000 bytes
    And a caller sends one GET /proof-vault/download/5000000?chunked to d1
    Then the status is 0

  Scenario: Outcomes: a caller that disconnects cancels its call at the target
    Given a fleet of 2 daemons in makati, pasig
    And target p1 of proof-vault beside d2 that responds after 300000 ms
    And the fleet is ready with the settings of bantayog
    When a caller disconnects from d1 while p1 runs its lookup
    Then the ledger of p1 shows that its run was cancelled
    And the remaining time sent to p1 is below the time limit of 60000 ms
