Feature: What other programs send is accepted whole or not at all

  # A heartbeat whose service could not be encoded ended the daemon 30 s later.
  Scenario Outline: A heartbeat with an odd field names no target
    Given a target registry that has published the target i-live
    When a heartbeat arrives whose <field> is <value>
    Then it is rejected
    And exactly the target i-live is published

    Examples: names
      | field   | value             |
      | service | "\ud800"          |
      | service | ""                |
      | service | " desk"           |
      | service | "de\r\nsk"        |
      | service | 300 letters       |
      | service | ["desk"]          |
      | service | null              |
      | id      | ""                |
      | id      | "i\n1"            |
      | id      | "\ud800"          |
      | id      | 3000 letters      |
      | zone    | 200000 letters    |
      | zone    | "\ud800"          |
      | version | 7                 |

    Examples: numbers
      | field       | value                  |
      | born        | 1180591620717411303424 |
      | born        | 4611686018427387904    |
      | born        | -5                     |
      | born        | 1.5                    |
      | born        | true                   |
      | sequence    | 1180591620717411303424 |
      | sequence    | -1                     |
      | sequence    | 2.0                    |
      | slots       | 0                      |
      | slots       | -5                     |
      | slots       | 10001                  |
      | slots       | 1180591620717411303424 |
      | cold_left_s | 1e308                  |
      | cold_left_s | Infinity               |
      | cold_left_s | NaN                    |
      | cold_left_s | -1e300                 |
      | cold_left_s | "0"                    |

    Examples: addresses and states
      | field   | value                   |
      | address | "127.0.0.1:0"           |
      | address | "127.0.0.1:65536"       |
      | address | "127.0.0.1:\u0661\u0662" |
      | address | "127.0.0.1:+9"          |
      | address | "127.0.0.1"             |
      | address | "desk.example:80"       |
      | address | "0.0.0.0:80"            |
      | address | "224.0.0.1:80"          |
      | address | 7                       |
      | state   | "gone"                  |
      | state   | ["ready"]               |
      | state   | null                    |

  # Guards against values that are accepted but fail at a later step.
  Scenario: Any heartbeat is rejected, or published and accepted by a peer
    Then this holds for 300 drawn JSON values as fields of a heartbeat
    And it holds for 200 drawn bodies of bytes

  # The table kept a target that failed in each publication after it.
  Scenario: A target that cannot be published does not keep others from being published
    Given a target registry that has published the target i-live
    When the number of slots of i-live becomes invalid
    And the target i-next is announced
    Then exactly the target i-next is published

  Scenario: Targets beyond the limit are rejected, and known ones renew their lease
    Given a target registry that has published the target i-live
    When 1500 further targets are announced
    Then 1000 targets are published
    And the target i-live can renew its lease

  # A background task that failed ended the daemon, or ended for good.
  Scenario: A background task that fails is started again
    When a background task fails twice and then runs
    Then it runs within 4 s
    And 2 failures are counted and logged

  # An exchange whose channel was closed between its requests ended all exchanges.
  Scenario: An exchange on a closed channel is a failed exchange
    When tables are exchanged over a channel that is closed meanwhile
    Then the exchange has failed

  Scenario Outline: An odd entry of a peer changes nothing
    Given a membership table with an entry of d2
    When an entry arrives whose <field> is <value>
    Then the table has only its entries of d1 and d2

    Examples:
      | field             | value                |
      | daemon            | ""                   |
      | daemon            | 300 letters          |
      | daemon            | "d\n3"               |
      | incarnation       | 18446744073709551615 |
      | version           | 18446744073709551615 |
      | endpoints_version | 18446744073709551615 |
      | peer_address      | "127.0.0.1:0"        |
      | peer_address      | "desk"               |
      | data_centre       | 300 letters          |
      | state             | 99                   |

  Scenario Outline: An odd endpoint in an entry of a peer is left out, the others hold
    Given a membership table with an entry of d2
    When an entry of d3 arrives with the endpoint e1 and one whose <field> is <value>
    Then the table lists only e1 beside d3

    Examples:
      | field        | value                |
      | endpoint     | ""                   |
      | endpoint     | "e\n2"               |
      | service      | 300 letters          |
      | slots        | 4294967295           |
      | announced_us | 18446744073709551615 |
      | version      | 18446744073709551615 |
      | state        | 99                   |

  # A record with the own name made a daemon unready for good.
  Scenario Outline: A presence record with the own name does not take the name
    Given a membership table with an entry of d2
    When the presence stream has a record of d1 with <difference>
    Then the name of d1 is not taken
    And <contacts> addresses are contacted

    Examples:
      | difference               | contacts |
      | another address          | 1        |
      | a later incarnation      | 0        |
      | an absurd incarnation    | 0        |
      | the last incarnation     | 0        |
      | an address without port  | 0        |

  # An incarnation above the last one that peers accept would exclude the daemon.
  Scenario Outline: A record found while joining never raises an incarnation too far
    Given daemon d1 that is joining
    When the presence stream has a record of d1 with <difference>
    Then a peer accepts the entry of d1

    Examples:
      | difference            |
      | a later incarnation   |
      | the last incarnation  |
      | an absurd incarnation |

  # Incarnations are readings of clocks, which may be wrong on this host.
  Scenario: Entries of peers are accepted by a daemon whose clock is years behind
    Given a daemon whose clock shows the year 1970
    When an entry of a peer with the incarnation of today arrives
    Then it is in the table

  Scenario Outline: A rate in a response is a decimal number
    Then the rate <text> is read as <rate>

    Examples:
      | text   | rate       |
      | 12.5   | 12.5       |
      | 0      | 0.0        |
      | .5     | 0.5        |
      | 1e-05  | 1e-05      |
      | 1e308  | 1000000000 |
      | nan    | None       |
      | inf    | None       |
      | -1     | None       |
      | 1_000  | None       |
      | ١٢     | None       |
