@alone
Feature: Misbehaving clients exhaust neither memory nor descriptors of daemons

  Background:
    Given 3 daemons of 120 MB and 512 descriptors with one target of 32 slots each

  Scenario Outline: Bodies without an end and unread responses
    When <count> clients of each daemon hold connections of the kind "<kind>"
    Then each daemon answers an ordinary request
    And each daemon is still the same process
    And no daemon has used more memory than its limit
    And no daemon has used more than three quarters of its descriptors

    Examples:
      | kind                     | count |
      | whole                    | 100   |
      | in pieces                | 100   |
      | in large chunks          | 100   |
      | in small chunks          | 60    |
      | announced over the limit | 100   |
      | endless                  | 60    |
      | unread responses         | 100   |
      | header parts             | 400   |

  Scenario Outline: Bodies without an end that have an operation key
    When <count> clients of each daemon with operation keys hold connections of the kind "<kind>"
    Then each daemon answers an ordinary request
    And each daemon is still the same process
    And no daemon has used more memory than its limit
    And no daemon has used more than three quarters of its descriptors

    Examples:
      | kind            | count |
      | keyed and small | 300   |
      | whole           | 100   |
      | in small chunks | 60    |

  Scenario Outline: Requests under long header sections
    Given targets that take 2000 ms for a call
    When <count> clients of each daemon hold connections of the kind "<kind>"
    Then each daemon answers an ordinary request
    And each daemon is still the same process
    And no daemon has used more memory than its limit
    And no daemon has used more than three quarters of its descriptors

    Examples:
      | kind                      | count |
      | under many fields         | 200   |
      | waiting under many fields | 200   |
      | idle after many fields    | 200   |

  Scenario Outline: Bodies at the path for operation keys
    When <count> clients of each daemon hold connections of the kind "<kind>"
    Then each daemon answers an ordinary request
    And each daemon is still the same process
    And no daemon has used more memory than its limit
    And no daemon has used more than three quarters of its descriptors

    Examples:
      | kind                           | count |
      | to the path for keys           | 100   |
      | in chunks to the path for keys | 100   |

  Scenario Outline: Requests sent ahead whose responses are not read
    When <count> clients of each daemon hold connections of the kind "<kind>"
    Then each daemon answers an ordinary request
    And each daemon is still the same process
    And no daemon has used more memory than its limit
    And no daemon has used more than three quarters of its descriptors

    Examples:
      | kind                           | count |
      | sent ahead                     | 20    |
      | sent ahead                     | 200   |
      | sent ahead with bodies         | 200   |
      | sent ahead under many fields   | 200   |
      | sent ahead for chunked answers | 200   |
