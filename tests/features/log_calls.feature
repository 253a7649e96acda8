Feature: The calls of a fleet to the platform's log grow little with its size

  Scenario Outline: <readers> readers wait for records with few calls
    Given <readers> daemons that read the log continuously
    Then together they make between 0.4 and 1 calls a second at rest
    And after a record that all have read, one of them reads again within 4 s on average

    Examples:
      | readers |
      | 6       |
      | 12      |

  Scenario Outline: <readers> readers that the log refuses retry at a bounded rate
    Given <readers> daemons that read the log continuously
    Then together they make at most 8 calls a second while the log refuses them for 20 s
    And one of them calls again within 1 s on average after the log returns

    Examples:
      | readers |
      | 6       |
      | 12      |

  Scenario Outline: A fleet in <data_centres> data centres has few readers, and one in each at least
    Given a daemon that knows <daemons> daemons in <data_centres> data centres
    Then <readers> of them read the log continuously
    And <leads> of them lead, <local> in each data centre
    And each of them asks <sources> readers, the first one in its own data centre

    Examples:
      | daemons | data_centres | readers | leads | local | sources |
      | 24      | 4            | 12      | 4     | 1     | 4       |
      | 234     | 6            | 12      | 12    | 2     | 4       |
      | 220     | 11           | 11      | 11    | 1     | 4       |
      | 600     | 5            | 25      | 25    | 5     | 4       |

  Scenario: A small fleet in one data centre has three readers, of which one leads
    Given a daemon that knows 5 daemons in 1 data centres
    Then 3 of them read the log continuously
    And 1 of them lead, 1 in each data centre

  Scenario Outline: <daemons> daemons that start within <start_ms> ms read few presence records
    Given <daemons> daemons that start within <start_ms> ms and know each other 100 ms later
    When 12 s pass in each of 50 fleets
    Then they read presence records at most <reads> times on average

    Examples:
      | daemons | start_ms | reads |
      | 12      | 300      | 5     |
      | 12      | 1500     | 5     |
      | 40      | 1500     | 5     |

  Scenario: Daemons poll at the interval of a group that has grown since their last poll
    Given 3 daemons, and 9 more that start 3000 ms later
    When 12 s pass in each of 50 fleets
    Then they read presence records at most 7 times on average

  Scenario: A daemon whose reads of presence records fail appends its own record once
    Given 12 daemons that start within 300 ms and know each other 100 ms later
    When 40 s pass in a fleet whose first 8 reads of presence records fail
    Then 12 presence records were appended

  Scenario: A fleet that starts before its first configuration makes few calls
    Given a platform fleet of 12 daemons in makati
    And the platform daemons accept calls
    When 10 s pass without a configuration
    Then the store got at most 4 calls for each daemon and one for each second
    When the operator writes configuration version 4
    Then every daemon has the configuration within 2 s

  Scenario: A reader whose connection to the store no longer delivers gets a configuration
    Given a linked platform fleet of 4 daemons in makati, with links from d1 to the others and the store
    And the operator has written configuration version 4
    And the platform fleet is ready
    When the connections of d1 to the store become silent
    And the operator writes configuration version 9
    Then every daemon has the configuration within 2 s
