Feature: The account on whose behalf a call is made

  Background:
    Given the accounts acme with keys k1, k2 and bravo with key k3
    And the routes /lookup/ and, without account, /open/

  Scenario Outline: The key of a request decides about its account
    When a request for <path> has the key <key>
    Then its account is <account>

    Examples:
      | path       | key  | account      |
      | /lookup/1  | k1   | acme         |
      | /lookup/1  | k2   | acme         |
      | /lookup/1  | k3   | bravo        |
      | /lookup/1  | k4   | unauthorized |
      | /lookup/1  | none | unauthorized |
      | /open/1    | none | none         |
      | /open/1    | k1   | none         |
      | /missing/1 | k1   | no route     |

  Scenario: A fleet that requires keys and has no account refuses all but public calls
    When the settings have no account
    And a request for /lookup/1 has the key none
    Then its account is unauthorized

  Scenario: Without the setting no key is looked at
    When the settings require no key
    And a request for /lookup/1 has the key k4
    Then its account is none

  Scenario Outline: A changed version decides about the next request
    When <change>
    Then the keys k1, k2, k3 identify <accounts>

    Examples:
      | change                                   | accounts                           |
      | acme has the keys k2                     | unauthorized, acme, bravo          |
      | acme has no key                          | unauthorized, unauthorized, bravo  |
      | acme is removed                          | unauthorized, unauthorized, bravo  |
      | key k1 moves from acme to bravo          | bravo, acme, bravo                 |
      | bravo has the keys k1, k3                | unauthorized, acme, bravo          |

  # Either account could otherwise use the quota and the priority of the other.
  Scenario Outline: A key that two accounts name identifies neither until one drops it
    When bravo has the keys k1, k3, by <way>
    Then the keys k1, k2, k3 identify unauthorized, acme, bravo
    And the problems with the settings name acme and bravo, and no key
    When bravo has the keys k3, by <way>
    Then the keys k1, k2, k3 identify acme, acme, bravo
    And there are no problems with the settings

    Examples:
      | way         |
      | a change    |
      | a snapshot  |

  # An index that misses an edit would keep or lose keys until the next restart.
  Scenario: The index after many changes is that of the same tree built at once
    When 300 random changes give and take 6 keys of 5 accounts
    Then each key identifies the account that a new tree finds

  # A 401 for a key that a newer version holds would be wrong and final.
  Scenario Outline: Only settings that are known to be the newest refuse a key
    When the settings are <state> and a request for /lookup/1 has the key <key>
    Then its account is <account>

    Examples:
      | state                  | key | account        |
      | confirmed              | k4  | unauthorized   |
      | unconfirmed            | k4  | stale settings |
      | unconfirmed            | k1  | acme           |
      | behind                 | k4  | stale settings |
      | behind and unconfirmed | k1  | stale settings |

  Scenario: A key that arrives while its request waits for newer settings is accepted
    When a request with the key k4 waits while a newer version gives k4 to bravo
    Then its account is bravo

  Scenario: The priority of an account takes precedence over that of the route
    When acme has the priority 0
    Then a call for /lookup/1 has the priority 0 with the key k1, and 3 with the key k3

  Scenario Outline: What callers send about their account does not reach others
    When a call <kind> has the header fields X-Key: k1, X-Tenant: bravo, x_tenant: bravo, Accept: a/b
    Then its target gets <fields>
    And the holder of its operation key gets <fields> without the account

    Examples:
      | kind                       | fields                                           |
      | of account acme            | X-Tenant: acme, Accept: a/b                      |
      | of a public route          | Accept: a/b                                      |
      | in a fleet without keys    | X-Key: k1, X-Tenant: bravo, x_tenant: bravo, Accept: a/b |

  # The stored answer of one account must never be given to another.
  Scenario: An operation key that another account used gets no stored answer
    When accounts acme and bravo send the same call with one operation key
    Then the call of acme is run for acme with its priority
    And the call of bravo is refused as key_reused
    And no message to the holder contains an account key

  Scenario Outline: Unusual accounts of the platform's document apply as far as possible
    When the document has the tenant <tenant>
    Then the settings have <account>, and the reports name <reported>

    Examples:
      | tenant                                             | account                     | reported    |
      | {"name": "a b", "api_keys": ["x"]}                 | a b with 1 key              | nothing     |
      | {"name": "Æ/1", "api_keys": ["x", "x", "y"]}       | Æ/1 with 2 keys             | nothing     |
      | {"name": "c", "api_keys": ["x"], "priority": -1}   | c with 1 key                | priority    |
      | {"name": "c", "api_keys": ["x"], "rate_per_s": "9"} | c with 1 key               | rate_per_s  |
      | {"name": "c", "api_keys": ["x"], "burst": 1e300}   | c with 1 key                | burst       |
      | {"name": "c", "api_keys": ["x", 7, "", null]}      | c with 1 key                | api_keys    |
      | {"name": "c", "api_keys": "secret"}                | c with 0 keys               | api_keys    |
      | {"name": "c"}                                      | c with 0 keys               | nothing     |
      | {"name": "c\r\nX-Key: 1", "api_keys": ["x"]}       | no account                  | name        |
      | {"name": "", "api_keys": ["x"]}                    | no account                  | name        |
      | {"api_keys": ["x"]}                                | no account                  | name        |
      | [1]                                                | no account                  | value       |

  Scenario Outline: The document decides whether keys are required
    When the document has <tenants> as its tenants
    Then keys are <required>

    Examples:
      | tenants | required     |
      | []      | required     |
      | null    | not required |
      | nothing | not required |
      | {}      | invalid      |

  Scenario Outline: A settings file has keys in plain text, and the change only digests
    When a settings file has the accounts <section>
    Then its change <result>

    Examples:
      | section                                           | result                          |
      | {"acme": {"keys": ["k1"], "calls_per_s": 2.5}}    | edits account:acme with 1 digest |
      | {"Ac me": {"keys": ["k1"]}}                       | edits account:hex.4163206d65 with 1 digest |
      | {"acme": null}                                    | removes account:acme            |
      | {"acme": {"keys": [5]}}                           | is invalid in line 1            |
      | {"acme": {"keys": [""]}}                          | is invalid in line 1            |
      | {"acme": {"calls_per_s": -1}}                     | is invalid in line 1            |
      | {"acme": {"secret": "k1"}}                        | is invalid in line 1            |
