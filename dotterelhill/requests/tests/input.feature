Feature: Invalid or excessive input does not affect other callers

  Background:
    Given minion "m1" in "caxias"

  Scenario Outline: A request that is too large or that HTTP parsers may read differently reaches a minion
    Given entry "e1" in "caxias" using "m1"
    When a raw connection sends <bytes>
    Then the answer is error "<kind>" with outcome "not-run"
    And minion "m1" got 0 requests
    Examples:
      | bytes | kind |
      | both Content-Length and Transfer-Encoding | bad_request |
      | two different Content-Lengths | bad_request |
      | a target without a slash | bad_request |
      | two Host headers | bad_request |
      | a header of 20000 bytes | head_too_large |
      | 90 headers of 500 bytes | head_too_large |
      | a deadline that is no number | bad_request |
      | a header that is not UTF-8 | bad_request |
      | a bad chunk | bad_request |

  Scenario: A request for a path of this system is routed to a service with a short prefix
    Given entry "e1" in "caxias" using "m1"
    When a raw connection sends a path of this system
    Then the answer is error "unknown_service" with outcome "not-run"
    And minion "m1" got 0 requests

  Scenario: A minion gets headers of this system that a caller forged
    Given entry "e1" in "caxias" using "m1"
    When "e1" gets POST with forged headers of this system
    Then the minion got none of them

  Scenario: A caller that doesn't complete its request head keeps its connection forever
    Given entry "e1" in "caxias" using "m1" and 0.3 seconds for a head
    When a raw connection stops after half a head
    Then it was closed within 1.0 seconds

  @not-run
  Scenario: A request whose short upload stops half-way is run or occupies a slot
    Given entry "e1" in "caxias" using "m1"
    When an upload of 1000 bytes stops after 500 bytes
    Then minion "m1" got 0 requests
    And "e1" has 0 slots in use

  Scenario: A request whose long upload stops half-way keeps its slot forever
    Given entry "e1" in "caxias" using "m1"
    When an upload of 1000000 bytes stops after 500000 bytes
    Then "e1" has 0 slots in use

  Scenario: One caller opens so many connections that none is left for others
    Given entry "e1" in "caxias" using "m1" and 5 connections for each caller
    When 9 raw connections are opened
    Then 5 of them are still open

  Scenario: A member exceeds its voted request rate
    Given entry "e1" in "caxias" using "m1"
    And the member may send 5 requests a second
    When "e1" gets GET 20 times
    Then between 5 and 7 answers have status 200 and the rest are "member_limit"

  Scenario: A request waits in the queue until its deadline, too late for a retry
    Given entry "e1" in "caxias" using "m1" with 1 slots
    When "e1" gets POST while its only slot is taken for 4 seconds
    Then the answer is error "overloaded" with outcome "not-run"
    And it took between 1.9 and 2.4 seconds
    And the answer says when to retry

  Scenario: A slot becomes free and a waiting request does not get it
    Given entry "e1" in "caxias" using "m1" with 1 slots
    When 10 callers at once send requests of 0.05 seconds of work
    Then every answer has status 200
    And no minion had more requests than slots
