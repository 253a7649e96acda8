Feature: Membership in a program of one's own

  Scenario: The example finds its peers and sees them go
    Given 3 embedded members, the first one as seed
    Then each embedded member prints that all others are alive
    When embedded member m3 is killed
    Then embedded members m1, m2 print "m3 dead"
    When embedded member m2 gets SIGTERM
    Then embedded members m1 print "m2 left"
