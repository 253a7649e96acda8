Feature: Validation of the daemon settings file

  Scenario Outline: The error for an invalid setting names the setting and its line
    Given a daemon settings file with "<name>" set to <value>
    When the daemon is started with that file
    Then its exit code is 2
    And it prints "daemon.jsonc:<line>: <message>"

    Examples:
      | name           | value          | line | message                                                    |
      | colour         | 3              | 10   | setting "colour" does not exist                            |
      | peer_address   | "nowhere:7003" | 7    | setting "peer_address": "nowhere:7003" is not IP:PORT      |
      | target_address | "10.0.0.1:1"   | 8    | setting "target_address": "10.0.0.1:1" is not loopback     |
      | data_centre    | ""             | 4    | setting "data_centre" is missing                           |
      | log_format     | "prose"        | 10   | setting "log_format": "prose" is none of json, console     |
