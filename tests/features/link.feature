Feature: Calls over a faulty network link

  Scenario: Lookups succeed while one direction of a path between daemons is cut
    Given links between daemons d1, d2
    And a fleet of 2 daemons in makati, pasig
    And targets e1 of slot-desk beside d1
    And targets e2 of slot-desk beside d2
    And the fleet is ready with the settings of bantayog
    When the way from d1 to d2 is cut
    And a caller sends 5 calls GET /slot-desk/lookup to each daemon
    Then all statuses are 200
