Feature: Requests are forwarded to the process that holds a free minion

  Background:
    Given minion "m1" in "caxias"
    And entry "e1" in "caxias" using ""
    And entry "e2" in "caxias" using "m1"

  Scenario: A process without a free slot refuses a request although its peer has a free slot
    When "e1" gets 3000000 bytes and returns 5000000 bytes
    Then both bodies arrived complete
    And "e2" used minion "m1" once

  @waited-time
  Scenario Outline: Between two heartbeats a peer gets only as many requests as it had free slots
    Given the last heartbeat of "e2" reported <slots> free slots
    When 100 callers ask "e1" at once for 0.02 seconds of work
    Then every answer has status 200
    And it took between 0.2 and 0.5 seconds
    And no minion had more requests than slots
    Examples:
      | slots |
      | 8 |
      | 0 |

  @not-run
  Scenario: A forwarded request that has not run is reported as "unknown"
    Given minion "m1" has stopped
    When "e1" gets POST with run id "r1"
    Then the answer is error "connect_failed" with outcome "not-run"

  @not-run
  Scenario: A forwarded request whose answer is lost is reported as "not-run"
    Given every minion is in mode "lose_answers"
    When "e1" gets POST with run id "r1"
    Then the answer is error "minion_connection_lost" with outcome "unknown"
    And run id "r1" ran 1 times

  @own-answer
  Scenario: A truncated answer to a forwarded request looks complete to the caller
    Given every minion is in mode "truncate"
    When "e1" returns 500000 bytes with a stated length
    Then the caller's connection broke

  Scenario: A request is forwarded in a loop because heartbeats report free slots that don't exist
    Given every entry reports 8 free slots regardless of its permits
    And the permits of "e2" are withdrawn
    When "e1" gets POST with run id "r1"
    Then the answer is error "overloaded" with outcome "not-run"
    And 1 requests were forwarded

  Scenario Outline: The forward port accepts a request that is forged, misaddressed or replayed
    When the forward port of "e2" gets a request <fault>
    Then the answer is error "unauthorized" with outcome "not-run"
    And run id "forged" ran 0 times
    Examples:
      | fault |
      | without a signature |
      | signed with another key |
      | whose target was changed |
      | meant for another incarnation |
      | that it got before |

  Scenario: Forwarded requests exceed the voted cap on bytes between regions
    Given entry "e3" in "pelotas" using ""
    And the manifest allows 0 bytes between regions
    When "e3" gets POST with run id "r1"
    Then the answer is error "overloaded" with outcome "not-run"
    Given the manifest allows 100000 bytes between regions
    When "e3" returns 60000 bytes with a stated length
    Then "e3" counted at least 60000 bytes between regions
