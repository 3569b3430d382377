Feature: A request with an idempotency key runs at most once

  Background:
    Given minion "m1" in "caxias"
    And minion "m2" in "caxias"
    And entry "e1" in "caxias" using "m1"
    And entry "e2" in "caxias" using "m2"

  @at-most-once
  Scenario Outline: A second call with the same key, at the same or another process, runs the request again
    Given <kind>
    When "e1" gets POST with the key and run id "r1"
    And "<entry>" gets POST with the key and run id "r1"
    Then both answers are the same complete answer
    And run id "r1" ran 1 times
    Examples:
      | kind | entry |
      | a key issued by "e1" | e1 |
      | a key issued by "e1" | e2 |
      | a key issued by "e2" | e1 |
      | a chosen key "fee-1" | e1 |
      | a chosen key "fee-1" | e2 |

  @at-most-once
  Scenario: A second call during the first attempt runs the request again
    Given a key issued by "e1"
    When "e1" gets POST with the key and run id "r1" during a first attempt of 0.5 seconds
    Then the answer is error "key_in_progress" with outcome "unknown"
    And run id "r1" ran 1 times

  @at-most-once
  Scenario: A caller that disconnects can't get its answer later, or its request runs again
    Given a chosen key "fee-2"
    When a caller with the key and run id "r1" disconnects during 0.4 seconds of work
    And "e2" gets POST with the key and run id "r1"
    Then every answer has status 200
    And run id "r1" ran 1 times

  @at-most-once
  Scenario: Another process runs the request of a key whose issuer can't be reached
    Given a key issued by "e1"
    And "e2" no longer sees its peers
    When "e2" gets POST with the key and run id "r1"
    Then the answer is error "key_holder_gone" with outcome "unknown"
    And run id "r1" ran 0 times

  @at-most-once
  Scenario: Another process runs the request of a key whose holder ended before the dispatch
    Given a chosen key "fee-3"
    And the key was claimed by a process that has ended
    When "e2" gets POST with the key and run id "r1"
    Then the answer is error "key_holder_gone" with outcome "unknown"
    And run id "r1" ran 0 times

  @at-most-once
  Scenario: A claimed request runs again because its process has evicted the key
    Given a chosen key "fee-7"
    And the key was claimed and evicted by "e1"
    When "e2" gets POST with the key and run id "r1"
    Then the answer is error "key_holder_gone" with outcome "unknown"
    And run id "r1" ran 0 times

  @at-most-once
  Scenario: Two processes claim a key at the same time and both run its request
    When both entries get POST with each of 40 chosen keys at once
    Then each of the 40 keys ran exactly once

  @at-most-once
  Scenario: A process takes its own claim for another's because the acknowledgement was lost
    Given the log is in mode "lose_answers"
    And a chosen key "fee-4"
    When "e1" gets POST with the key and run id "r1"
    Then every answer has status 200
    And run id "r1" ran 1 times

  @at-most-once @not-run @waited-time
  Scenario Outline: Callers retry while minions and the log fail at random, and a keyed request runs twice
    Given a third entry "e3" in "caxias" that uses no minion
    When 80 keyed requests are tried up to 4 times while minions and the log fail at random, seed <seed>
    Then no keyed request ran twice, and none ran whose calls were all "not-run"
    And stored answers are those of the only run
    Examples:
      | seed |
      | 1 |
      | 2 |

  @not-run
  Scenario: A keyed request runs without a claim while the log is down
    Given the log is in mode "down"
    And a chosen key "fee-5"
    When "e1" gets POST with the key and run id "r1"
    Then the answer is error "log_unavailable" with outcome "not-run"
    And run id "r1" ran 0 times
    Given the log is in mode "ok"
    When "e2" gets POST with the key and run id "r1"
    And "e1" gets POST with the key and run id "r1"
    Then run id "r1" ran 1 times

  Scenario: A key that was used for another request is accepted
    Given a chosen key "fee-6"
    When "e1" gets POST with the key and run id "r1"
    And "e2" gets POST with the key, run id "r1" and another body
    Then the answer is error "key_mismatch" with outcome "not-run"
    And run id "r1" ran 1 times

  Scenario: A key whose signature doesn't match is accepted
    Given a key issued by "e1" with one digit changed
    When "e1" gets POST with the key and run id "r1"
    Then the answer is error "bad_request" with outcome "not-run"

  @at-most-once
  Scenario: An issued key is evicted from the full key table and its request runs again
    Then a key table of 3 keys never runs an evicted issued key again
