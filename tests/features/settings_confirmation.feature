Feature: No daemon takes settings for the newest for longer than a change may take

  Background:
    Given a linked platform fleet of 4 daemons in makati, with links between d4 and the others and to the store
    And endpoints e1 of slot-desk beside d4
    And endpoints e2 of proof-vault beside d4
    And the operator has written configuration version 3
    And the platform fleet is ready
    When the operator writes configurations until d4 gets them only from its peers

  Scenario: A daemon that no peer tells of new routes gives no final 404 for them
    When all links between d4 and its peers are cut
    And the operator writes a configuration every 400 ms for 4 s, each with a new route
    Then d4 routes each request that is sent 2 s after a route was added

  Scenario: A daemon that no peer tells of a moved route does not use the former service
    When all links between d4 and its peers are cut
    And the operator moves the route /lookup/ to proof-vault
    Then 2 s later the GET /lookup/a to d4 that slot-desk answers are none of 5

  Scenario: A daemon that cannot get reported settings does not use the former service
    When the links of d4 to its peers and to the store are cut
    And the operator moves the route /lookup/ to proof-vault
    Then 2 s later the GET /lookup/a to d4 that slot-desk answers are none of 5
