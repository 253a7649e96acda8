Feature: The platform's log comes back from an older copy and gives out offsets again

  Scenario: Records that replace lost ones at their offsets are read
    Given a store and its client
    And a reader of the topic presence that has read records of d1, d2, d3
    When the store comes back without the last 2 records of the topic presence
    And the client appends records of d4, d5, d6
    Then the reader reads records of d1, d4, d5, d6

  Scenario: A reader that is after the end of the log reads it again
    Given a store and its client
    And a reader of the topic presence that has read records of d1, d2, d3
    When the store comes back without the last 2 records of the topic presence
    Then the reader reads records of d1

  Scenario: A response from before the return is not used
    Given a store and its client
    And a reader of the topic presence that has read records of d1, d2
    When the store comes back without the last 1 records of the topic presence
    Then the reader reads records of d1
    When a response of the previous era arrives
    Then the reader reports that it is outdated

  Scenario: A daemon whose presence record may be lost writes it again
    Given a store and its client
    And a daemon that has written its presence record
    When the store comes back without the last 1 records of the topic presence
    Then the daemon finds its record lost until it has written it again

  Scenario: Readers hold the newest record of each key after any returns
    Then after random appends, returns and dropped records a reader holds what the log holds

  Scenario: A daemon that starts on an older copy takes the newer settings of its peers
    Given a platform fleet of 3 daemons in makati
    And the operator has written configuration version 4
    And the platform fleet is ready
    When the operator writes configuration version 7
    Then every daemon has the configuration within 2 s
    When the store comes back without the last 1 records of the topic op
    And platform daemon d3 is killed and started again
    Then every daemon has the configuration within 4 s
    When the operator writes configuration version 9
    Then every daemon has the configuration within 2 s
