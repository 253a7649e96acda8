Feature: Invalid input on every port

  Background:
    Given a fleet of 2 daemons in makati, pasig
    And targets e1 of slot-desk beside d1
    And targets p1 of proof-vault beside d2
    And the fleet is ready with the settings of bantayog

  Scenario: Requests that two parsers may interpret differently are refused
    When a caller sends these raw requests to d1
      | request                                                                             |
      | GET /slot-desk/x HTTP/1.1\r\n\r\n                                                   |
      | GET /slot-desk/x HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n                             |
      | GET /slot-desk/x HTTP/2.0\r\nHost: a\r\n\r\n                                        |
      | GET  /slot-desk/x HTTP/1.1\r\nHost: a\r\n\r\n                                       |
      | get /slot-desk/x HTTP/1.1\r\nHost: a\r\n\r\n                                        |
      | BREW /slot-desk/x HTTP/1.1\r\nHost: a\r\n\r\n                                       |
      | GET slot-desk HTTP/1.1\r\nHost: a\r\n\r\n                                           |
      | GET ftp://a/slot-desk/x HTTP/1.1\r\nHost: a\r\n\r\n                                 |
      | GET /slot-desk/x#y HTTP/1.1\r\nHost: a\r\n\r\n                                      |
      | GET /slot-desk/x HTTP/1.1\r\nHost: a b\r\n\r\n                                      |
      | GET /slot-desk/x HTTP/1.1\r\nHost: a\r\nX-Y\r\n\r\n                                 |
      | GET /slot-desk/x HTTP/1.1\r\nHost: a\r\nX-Y: 1\n2\r\n\r\n                           |
      | GET /slot-desk/x HTTP/1.1\r\nHost: a\r\nX-Y: 1\r\n 2\r\n\r\n                        |
      | GET /slot-desk/x HTTP/1.1\r\nHost: a\r\nX-Y: \x00\r\n\r\n                           |
      | GET /slot-desk/x HTTP/1.1\r\nHost: a\r\nX-Y: \xff\r\n\r\n                           |
      | GET /slot-desk/x HTTP/1.1\r\nHost: a\r\nX-Request-Timeout-Ms: soon\r\n\r\n          |
      | GET /slot-desk/x HTTP/1.1\r\nHost: a\r\nX-Request-Timeout-Ms: -1\r\n\r\n            |
      | GET /slot-desk/x HTTP/1.1\r\nHost: a\r\nX-Request-Timeout-Ms: 0\r\n\r\n             |
      | POST /slot-desk/x HTTP/1.1\r\nHost: a\r\nContent-Length: many\r\n\r\n{}             |
      | POST /slot-desk/x HTTP/1.1\r\nHost: a\r\nContent-Length: -2\r\n\r\n{}               |
      | POST /slot-desk/x HTTP/1.1\r\nHost: a\r\nContent-Length: 2, 2\r\n\r\n{}             |
      | POST /slot-desk/x HTTP/1.1\r\nHost: a\r\nContent-Length : 2\r\n\r\n{}               |
      | POST /slot-desk/x HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\nContent-Length: 2\r\n\r\n{} |
      | POST /slot-desk/x HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n{} |
      | POST /slot-desk/x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked, gzip\r\n\r\n{} |
      | POST /slot-desk/x HTTP/1.0\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n |
      | POST /slot-desk/x HTTP/1.1\r\nHost: a\r\nExpect: wonders\r\nContent-Length: 2\r\n\r\n{} |
    Then each raw request is refused as "bad_request" and its connection is closed
    And target e1 has run no call

  Scenario: Requests beyond the limits are refused
    When a caller sends these raw requests to d1
      | request                                                                       |
      | GET /slot-desk/x HTTP/1.1\r\nHost: a\r\nX-Y: {17000 bytes}\r\n\r\n            |
      | GET /{17000 bytes} HTTP/1.1\r\nHost: a\r\n\r\n                                |
      | POST /slot-desk/x HTTP/1.1\r\nHost: a\r\nContent-Length: 300000000\r\n\r\n    |
      | POST /slot-desk/x HTTP/1.1\r\nHost: a\r\nContent-Length: 9{17 bytes}\r\n\r\n  |
    Then each raw request is refused as "bad_request" and its connection is closed
    And target e1 has run no call

  Scenario: Unusual but valid requests are served
    When a caller sends these raw requests to d1
      | request                                                                              |
      | GET http://a:80/slot-desk/x?y=1 HTTP/1.1\r\nHost: b\r\nConnection: close\r\n\r\n     |
      | GET /slot-desk/x HTTP/1.0\r\n\r\n                                                    |
      | GET /slot-desk/x HTTP/1.1\r\nHost: [::1]:80\r\nConnection: close\r\n\r\n             |
      | GET /slot-desk/x HTTP/1.1\r\nHost: a\r\nX-Y: \xc3\xa9\r\nConnection: close\r\n\r\n   |
      | HEAD /slot-desk/x HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n                   |
      | POST /slot-desk/x HTTP/1.1\r\nHost: a\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n |
      | POST /slot-desk/x HTTP/1.1\r\nHost: a\r\nConnection: close\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n{} |
    Then each raw request is answered with status 200

  Scenario: An upload with invalid chunk framing is never forwarded as complete
    When a chunked upload to /slot-desk/hold at d1 ends with an invalid chunk
    And a chunked upload to /proof-vault/hold at d1 ends with an invalid chunk
    Then target e1 has run no call
    And target p1 has run no call
    And no daemon has written a stack trace

  Scenario: A daemon keeps serving after random input on every port
    When 300 seeded random inputs are sent to the ports of d1
    Then a lookup sent to d1 is still answered
    And no daemon has written a stack trace
