Feature: Calls of client accounts through daemons

  Background:
    Given a linked platform fleet of 2 daemons in makati, with links between d2 and the others and to the store
    And endpoints e1 of slot-desk beside d1
    And endpoints e2 of proof-vault beside d2

  Scenario: Targets get the account's name and nobody else gets its key
    Given the operator has written version 4 with the tenants acme key-1; bravo key-2
    And the platform fleet is ready
    Then these requests get these statuses, and targets these fields
      | daemon | path      | fields                                      | status | target          |
      | d1     | /lookup/a | X-Key: key-1, X-Tenant: bravo, x_tenant: no | 200    | X-Tenant: acme  |
      | d1     | /lookup/a | X-Key: key-2                                | 200    | X-Tenant: bravo |
      | d1     | /lookup/a | X-Tenant: acme                              | 401    |                 |
      | d1     | /lookup/a | X-Key: key-3                                | 401    |                 |
      | d1     | /proof/a  | X-Key: key-1, X-Tenant: acme                | 200    |                 |
    And with one operation key, key-1 at d1, key-1 at d2 and key-2 at d2 get 200, 200, 422
    And laburnumscalectl shows 2 accounts with answered calls, and acme for key-1
    And no log, metric or problem document contains a key

  # A key that is checked once for each connection would stay valid as long as that.
  Scenario: Versions take and move keys while connections are open
    Given the operator has written version 4 with the tenants acme key-1 key-2; bravo key-3
    And the platform fleet is ready
    Then the keys key-1, key-2, key-3 get acme, acme, bravo on kept connections
    When the operator has written version 5 with the tenants acme key-2; bravo key-3
    Then the keys key-1, key-2, key-3 get 401, acme, bravo on kept connections
    When the operator has written version 6 with the tenants acme; bravo key-2 key-3
    Then the keys key-1, key-2, key-3 get 401, bravo, bravo on kept connections

  # A 401 for a key that the newest version holds would be wrong.
  Scenario: A daemon that is cut off keeps to the keys that it knows
    Given the operator has written version 4 with the tenants acme key-1; bravo key-3
    And endpoints e3 of slot-desk beside d2
    And the platform fleet is ready
    When all links of d2 are cut
    And the operator has written version 5 with the tenants bravo key-2 key-3
    Then the keys key-1, key-2 get 401, 200 at d1
    And the keys key-1, key-2 get 200, 503 at d2
    When all links of d2 are restored
    Then the keys key-1, key-2 get 401, 200 at d2
    Given the store is down
    And platform daemon d3 is started in makati
    Then the keys key-1, key-3 get 503, 503 at d3

  Scenario: A deployment without accounts forwards both fields
    Given the operator has written configuration version 3
    And the platform fleet is ready
    Then these requests get these statuses, and targets these fields
      | daemon | path      | fields                       | status | target                       |
      | d2     | /lookup/a | X-Key: key-1, X-Tenant: acme | 200    | X-Key: key-1, X-Tenant: acme |
