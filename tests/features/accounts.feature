Feature: The account on whose behalf a call is made

  Background:
    Given the accounts acme k1 k2; bravo k3, and the routes /lookup/ and, public, /open/

  Scenario Outline: The key of a request decides about its account
    When a request for <path> has the key <key>
    Then its account is <account>

    Examples:
      | path       | key  | account      |
      | /lookup/1  | k2   | acme         |
      | /lookup/1  | k3   | bravo        |
      | /lookup/1  | k4   | unauthorized |
      | /lookup/1  | none | unauthorized |
      | /open/1    | none | none         |
      | /open/1    | k1   | none         |
      | /missing/1 | k1   | no route     |

  # Removing the last account must not open the fleet to all.
  Scenario: A fleet that requires keys and has no account refuses all but public calls
    When the accounts become none, by a snapshot
    Then the keys none, k1 identify unauthorized, unauthorized

  # A key of two accounts would let one use the quota and the priority of the other.
  Scenario Outline: A changed version decides about the next request
    When the accounts become <accounts>, by <way>
    Then the keys k1, k2, k3 identify <owners>
    And the settings have <count> problems of acme, bravo
    When the accounts become acme k1 k2; bravo k3, by <way>
    Then the keys k1, k2, k3 identify acme, acme, bravo
    And the settings have 0 problems of acme, bravo

    Examples:
      | accounts               | way        | owners                            | count |
      | acme k2; bravo k3      | a change   | unauthorized, acme, bravo         | 0     |
      | acme; bravo k3         | a change   | unauthorized, unauthorized, bravo | 0     |
      | bravo k3               | a snapshot | unauthorized, unauthorized, bravo | 0     |
      | acme k2; bravo k1 k3   | a change   | bravo, acme, bravo                | 0     |
      | acme k1 k2; bravo k1   | a change   | unauthorized, acme, unauthorized  | 1     |
      | acme k1 k2; bravo k1   | a snapshot | unauthorized, acme, unauthorized  | 1     |

  # An index that misses an edit would keep or lose keys until the next restart.
  Scenario: The index after many changes is that of the same tree built at once
    Then after each of 300 random changes of 5 accounts the index is right

  # A 401 for a key that a newer version holds would be wrong and final.
  Scenario Outline: Only settings that are known to be the newest refuse a key
    When the accounts are <state> and a request has the key <key>
    Then its account is <account>

    Examples:
      | state                  | key | account        |
      | unconfirmed            | k4  | stale settings |
      | unconfirmed            | k1  | acme           |
      | behind                 | k4  | stale settings |
      | behind and unconfirmed | k1  | stale settings |

  Scenario: A key that arrives while its request waits for newer settings is accepted
    When a request with the key k4 waits while a newer version gives k4 to bravo
    Then its account is bravo

  Scenario: The priority of an account takes precedence over that of the route
    Then with priority 0 of acme, the keys k1, k3 give calls 0, 3

  # The stored answer of one account must never be given to another.
  Scenario: An operation key that another account used gets no stored answer
    When accounts acme, acme, bravo send the same call with one operation key
    Then it is run once, for acme with its priority, and gets 200, 200 and key_reused

  Scenario Outline: Unusual accounts of the platform's document apply as far as possible
    When a document has the tenants <tenants>
    Then its accounts are <accounts>, and the reports name <reported>

    Examples:
      | tenants                                              | accounts     | reported   |
      | nothing                                              | not required | nothing    |
      | null                                                 | not required | nothing    |
      | {}                                                   | invalid      | nothing    |
      | []                                                   | none         | nothing    |
      | [{"name": "Æ /1", "api_keys": ["x", "x", "y"]}]      | Æ /1: 2      | nothing    |
      | [{"name": "c", "api_keys": ["x"], "priority": -1}]   | c: 1         | priority   |
      | [{"name": "c", "api_keys": ["x"], "rate_per_s": "9"}] | c: 1        | rate_per_s |
      | [{"name": "c", "api_keys": ["x"], "burst": 10^400}]  | c: 1         | burst      |
      | [{"name": "c", "api_keys": ["x", 7, "", null]}]      | c: 1         | api_keys   |
      | [{"name": "c", "api_keys": "secret"}]                | c: 0         | api_keys   |
      | [{"name": "c\r\nX-Key: 1", "api_keys": ["secret"]}]  | none         | name       |
      | [{"api_keys": ["secret"]}, {"name": "c"}]            | c: 0         | name       |
      | [1]                                                  | none         | value      |

  Scenario Outline: A settings file has keys in plain text, and its change only digests
    Then a settings file with the accounts <section> gives a change that <result>

    Examples:
      | section                                          | result                      |
      | {"acme": {"keys": ["secret"], "calls_per_s": 2}} | sets account:acme           |
      | {"Ac me": {"keys": ["secret"]}}                  | sets account:hex.4163206d65 |
      | {"acme": null}                                   | removes account:acme        |
      | {"acme": {"keys": ["secret", 5]}}                | is invalid in line 1        |
      | {"acme": {"keys": [""]}}                         | is invalid in line 1        |
      | {"acme": {"burst_calls": -1}}                    | is invalid in line 1        |
      | {"acme": {"password": "secret"}}                 | is invalid in line 1        |
