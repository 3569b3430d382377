Feature: Callers are told correctly whether their request ran

  @not-run
  Scenario: A request is reported as "unknown" although the minion refused the connection
    Given minion "m1" in "caxias"
    And entry "e1" in "caxias" using "m1"
    And minion "m1" has stopped
    When "e1" gets POST with run id "r1"
    Then the answer is error "connect_failed" with outcome "not-run"

  @not-run
  Scenario: A request is sent although the permit for its minion ended during connect
    Given minion "m1" in "caxias"
    And entry "e1" in "caxias" using "m1"
    And the permits of "e1" end after they were looked up 2 times
    When "e1" gets POST with run id "r1"
    Then the answer is error "connect_failed" with outcome "not-run"
    And run id "r1" ran 0 times

  @at-most-once
  Scenario: A non-idempotent request is repeated because its answer was lost
    Given minion "m1" in "caxias"
    And minion "m2" in "caxias"
    And entry "e1" in "caxias" using "m1, m2"
    And every minion is in mode "lose_answers"
    When "e1" gets POST with run id "r1"
    Then the answer is error "minion_connection_lost" with outcome "unknown"
    And run id "r1" ran 1 times

  Scenario: An idempotent request fails because one of several minions fails
    Given minion "m1" in "caxias"
    And minion "m2" in "caxias"
    And entry "e1" in "caxias" using "m1, m2"
    And minion "m1" is in mode "lose_answers"
    When "e1" gets GET 20 times
    Then every answer has status 200

  @own-answer
  Scenario: A minion process is killed and its callers take a truncated answer for a complete one
    Given minion process "m1" in "caxias"
    And entry "e1" in "caxias" using "m1"
    When the minion process is killed while one request works and one answer streams
    Then one caller is told "minion_connection_lost" with outcome "unknown" and one connection broke

  @not-run @at-most-once @waited-time
  Scenario Outline: Minions that fail in every way make "not-run" untrue or run work twice
    Given minion "m1" in "caxias"
    And minion "m2" in "caxias"
    And minion "m3" in "caxias"
    And minion "m4" in "gramado"
    And entry "e1" in "caxias" using "m1, m2" with 2 slots
    And entry "e2" in "caxias" using "m3" with 2 slots
    And entry "e3" in "gramado" using "m4" with 2 slots
    When 400 callers send work while minions fail at random, seed <seed>
    Then no request that was reported as "not-run" has run, and none ran twice
    And no minion had more requests than slots
    Examples:
      | seed |
      | 1 |
      | 2 |

  @waited-time
  Scenario: Callers disconnect and their slots are freed while the minion still works
    Given minion "m1" in "caxias"
    And entry "e1" in "caxias" using "m1"
    When 8 callers disconnect while the minion works for 0.8 seconds
    And 8 more callers send requests at once
    Then every answer has status 200
    And no minion had more requests than slots

  @leaving
  Scenario Outline: A minion that is leaving or in a domain that is out gets new requests
    Given minion "m1" in "caxias"
    And minion "m2" in "gramado"
    And entry "e1" in "caxias" using "m1, m2"
    And <what>
    When "e1" gets GET 20 times
    Then every answer has status 200
    And minion "m2" got 0 requests
    Examples:
      | what |
      | the manifest marks minion "m2" as leaving |
      | the VM list marks "m2" as leaving |
      | the manifest takes domain "gramado" out |

  @leaving
  Scenario: A waiting request is sent to a minion that has since been marked as leaving
    Given minion "m1" in "caxias"
    And entry "e1" in "caxias" using "m1" with 1 slots
    When the manifest marks "m1" as leaving while a request waits for its slot
    Then run id "waiting" ran 0 times

  @graceful-stop
  Scenario: A planned stop interrupts requests in flight
    Given minion "m1" in "caxias"
    And entry "e1" in "caxias" using "m1"
    When "e1" stops while 6 requests take 0.7 seconds
    Then every answer has status 200
    And "e1" refuses new connections

  @graceful-stop
  Scenario: A stopping process refuses requests that the balancer still sends to it
    Given minion "m1" in "caxias"
    And entry "e1" in "caxias" using "m1" and a balancer delay of 0.6 seconds
    When "e1" stops and gets GET 5 times 0.3 seconds later
    Then every answer has status 200
