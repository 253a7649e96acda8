Feature: Calls travel from the caller through the fleet to the target

  Background:
    Given a fleet of 3 daemons in makati, pasig
    And targets e1 of slot-desk beside d1
    And targets e2 of slot-desk beside d2
    And targets p1 of proof-vault beside d2
    And targets p2 of proof-vault beside d3
    And the fleet is ready with the settings of bantayog

  Scenario: Calls reach every target from every daemon
    When a caller sends 10 calls GET /slot-desk/lookup?slot=edsa to each daemon
    Then all statuses are 200
    And every target of slot-desk has run a call

  Scenario: A large response is forwarded completely
    When a caller sends one GET /proof-vault/download/5000000 to d1
    Then the status is 200
    And the response body has 5000000 bytes

  Scenario: A call to a service that does not exist is refused
    When a caller sends one POST /no-desk/hold to d1
    Then the status is 404
    And the problem is "not_run" because of "no_such_service"

  Scenario: Lookups succeed while a target is suspended
    When target e1 is suspended with SIGSTOP
    And a caller sends 10 calls GET /slot-desk/lookup to each daemon
    Then all statuses are 200
    And no daemon sends calls of slot-desk to e1

  Scenario: A drained target receives no more calls
    When target e1 is drained at d1
    Then no daemon sends calls of slot-desk to e1

  Scenario: A daemon exits with code 0 on SIGTERM
    When daemon d3 gets SIGTERM
    Then its exit code is 0
