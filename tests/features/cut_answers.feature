Feature: An answer that is cut at any byte is never forwarded as whole

  # Reported by other operators: an answer that stopped in its head became an empty 200.
  Scenario Outline: An answer that ends too early is not complete
    Given a target that answers <method> with <form>
    When its answer is cut before each of its bytes by <end>
    Then no cut answer is taken as complete
    And the whole answer is

    Examples:
      | method | form                       | end     |
      | GET    | a length                   | a close |
      | GET    | a length                   | a reset |
      | GET    | chunks                     | a close |
      | GET    | chunks                     | a reset |
      | GET    | chunks and a trailer       | a close |
      | GET    | bare line feeds            | a close |
      | GET    | an interim response        | a close |
      | GET    | an interim response        | a reset |
      | GET    | the end of its connection  | a reset |
      | GET    | a length in two segments   | a close |
      | HEAD   | a length                   | a close |
      | HEAD   | a length                   | a reset |
      | HEAD   | an interim response        | a close |
      | PUT    | a length                   | a close |
      | PUT    | an interim response        | a close |
      | PUT    | chunks                     | a reset |
      | GET    | status 204                 | a close |

  Scenario: An answer without a length that is closed in its head is not complete
    Given a target that answers GET with the end of its connection
    When its answer is cut before each byte of its head by a close
    Then no cut answer is taken as complete
