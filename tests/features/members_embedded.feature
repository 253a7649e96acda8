Feature: Membership library embedded in another program

  Scenario: The example program reports which peers are alive, dead and left
    Given 3 embedded members, the first one as seed
    Then each embedded member prints that all others are alive
    When embedded member m3 is killed
    Then embedded members m1, m2 print "m3 dead"
    When embedded member m2 gets SIGTERM
    Then embedded members m1 print "m2 left"
