Feature: Admin port, metrics and log lines

  Scenario: One broken slice would hide the state of all others
    Given an admin server whose part "batch" raises and part "log" holds 3 reads
    When "/state" is fetched
    Then the answer has status 200 and part "log" holds 3 reads
    And part "batch" names the exception

  Scenario: A process that can't serve would be kept in the balancer
    Given an admin server that is not ready because "no manifest"
    When "/readyz" is fetched
    Then the answer has status 503 and names "no manifest"
    When "/healthz" is fetched
    Then the answer has status 200 and names "alive"

  Scenario: A task id with a slash could not be explained
    Given an admin server that explains job "sync@12/0"
    When "/explain/job/sync@12/0" is fetched
    Then the answer has status 200 and names "sync@12/0"
    When "/explain/job/other" is fetched
    Then the answer has status 404 and names "other"

  Scenario: A metric that no table documents would be sent
    Given local metrics
    Then counting "requests.invented" is refused
    And counting "requests.retried" is accepted

  Scenario: Unbounded labels would use up the memory of the node
    Given local metrics
    When 300 labels of "requests.errors" are counted
    Then at most 257 counters exist and the total is 300

  Scenario: Counters of a slice would be sent again and again, or under a name of their own
    Given a slice whose counter "callers_gone" is 7
    When a statsd server gets two flushes
    Then the first holds "dotterelhill.requests.callers_gone:7|c" and the second does not
    And the second holds "dotterelhill.process.ready:1.0|g"
    And the second holds "dotterelhill.requests.seconds.desk.p99:0.2"
    And the counters are "metrics.undocumented.invented_callers_gone, requests.callers_gone"

  Scenario: Quantiles would be off by more than the stated accuracy
    Given local metrics
    When the values 1 to 1000 ms of "requests.seconds" are observed
    Then its p99 is within 2 percent of 0.99

  Scenario: A log line with a line break would be read as two
    When a line with the text "first\nsecond" and field peer "caxias-2" is logged
    Then one JSON line has both and names the process
