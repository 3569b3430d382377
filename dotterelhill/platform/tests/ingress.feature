Feature: Requests with keys at an entry process

  Background:
    Given an entry process with tenant "t" and keys "good spare" on queue "q"

  Scenario Outline: A key is ignored, or asked for where none is needed
    When <method> "<path>" is sent with key "<key>"
    Then the answer is <status>

    Examples:
      | method | path                | key  | status |
      | POST   | /q/00000000000000a1 | good | 200    |
      | POST   | /q/00000000000000a1 |      | 401    |
      | POST   | /q/00000000000000a1 | bad  | 401    |
      | GET    | /q/                 | bad  | 401    |
      | GET    | /q/                 | good | 200    |
      | DELETE | /q/00000000000000a1 | bad  | 401    |
      | GET    | /q/00000000000000a1 | bad  | 401    |
      | POST   | /open/00000000000000a1 |   | 200    |
      | POST   | /none/00000000000000a1 | good | 404 |

  Scenario: A refused key appears in the log, or the process accepts unknown keys when it is behind
    Given its configuration was last confirmed 5 seconds ago
    When POST "/q/00000000000000a1" is sent with key "not-a-known-key"
    Then the answer is 503 with Retry-After
    And no line of the log holds a key

  Scenario Outline: A key that is revoked during its request still gets its job stored
    When POST "/q/00000000000000a1" is sent with key "good", which is revoked while <moment>
    Then the answer is <status>
    And <count> appends were tried

    Examples:
      | moment                     | status | count |
      | the body arrives           | 401    | 0     |
      | the store refuses an append | 401   | 1     |
      | an append gets no answer   | 504    | 1     |

  Scenario: A malformed request puts its key into the log
    When a request with a malformed key header arrives at the server
    Then no line of the log holds a key
