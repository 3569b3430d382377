Feature: Requests and answers are passed on unchanged and complete

  Background:
    Given minion "m1" in "caxias"
    And minion "m2" in "caxias"
    And entry "e1" in "caxias" using "m1, m2"

  @own-answer
  Scenario: A request changes because its target is normalised or its headers are merged
    When a raw request asks for "/a/../b%2F%41/?x=1&x=2&y=%zz?" with repeated headers
    Then the minion saw that target and those headers
    And the repeated headers of its answer arrived

  Scenario: A request target loses its empty query
    When a raw request asks for "/a?" with repeated headers
    Then the minion saw that target and those headers

  Scenario: An answer to HEAD loses its length, or a caller that expects 100-continue gets none
    Then HEAD and 100-continue requests get the expected answers

  Scenario: A large or compressed body is changed on the way
    When "e1" gets 3000000 bytes and returns 5000000 bytes
    Then both bodies arrived complete
    When "e1" gets a body that is marked as gzip
    Then the minion saw exactly those bytes

  Scenario: Without backpressure, memory grows with an answer that its caller doesn't read
    When a caller asks for 200000000 bytes and reads none
    Then the process has grown by less than 24 MB

  @own-answer
  Scenario Outline: A truncated answer of a minion looks complete to the caller
    Given every minion is in mode "truncate"
    When "e1" returns 500000 bytes <framing>
    Then the caller's connection broke
    Examples:
      | framing |
      | with a stated length |
      | in chunks |

  @own-answer @waited-time
  Scenario: The late answer of an abandoned request reaches the next caller
    When 300 callers send requests at once, a third of them with too short a deadline
    Then each answer is the caller's own or an error with outcome "unknown"
    And no minion had more requests than slots

  @own-answer
  Scenario: An unsolicited answer on an idle connection is taken for the answer to the next request
    Given minion "m1" sends one more answer 0.1 seconds after its first
    When "e1" gets GET 3 times, 0.2 seconds apart
    Then the answers are those to its 3 requests

  Scenario: The HTTP client library runs a request again because a kept connection was closed
    Given every minion drops connections that were used before
    When "e1" gets PUT twice on one minion connection
    Then no run id ran more than once
    And the second answer is error "minion_connection_lost" with outcome "unknown"

  Scenario: A caller waits until its deadline for a minion that sends nothing
    Given every minion is in mode "silent"
    When "e1" gets POST with run id "r1"
    Then the answer is error "minion_silent" with outcome "unknown"
    And it took between 0.9 and 1.6 seconds
