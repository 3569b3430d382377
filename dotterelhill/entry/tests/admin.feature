Feature: Admin port, metrics and log lines

  Scenario: A slice that raises an error hides the state of all others
    Given an admin server whose part "batch" raises and part "log" holds 3 reads
    When "/state" is fetched
    Then the answer has status 200 and part "log" holds 3 reads
    And part "batch" names the exception

  Scenario: The balancer keeps a process that is not ready, since its readiness check succeeds
    Given an admin server that is not ready because "no manifest"
    When "/readyz" is fetched
    Then the answer has status 503 and names "no manifest"
    When "/healthz" is fetched
    Then the answer has status 200 and names "alive"

  Scenario: A task id with a slash is not found, since the path of the explanation is cut at the slash
    Given an admin server that explains job "sync@12/0"
    When "/explain/job/sync@12/0" is fetched
    Then the answer has status 200 and names "sync@12/0"
    When "/explain/job/other" is fetched
    Then the answer has status 404 and names "other"

  Scenario: A metric that the table does not document is sent
    Given local metrics
    Then counting "requests.invented" is refused
    And counting "requests.retried" is accepted

  Scenario: A metric with an unbounded number of labels uses up the memory of the node
    Given local metrics
    When 300 labels of "requests.errors" are counted
    Then at most 257 counters exist and the total is 300

  Scenario: A counter of a slice is sent again at every flush, or under an undocumented name
    Given a slice whose counter "callers_gone" is 7
    When a statsd server gets two flushes
    Then the first holds "dotterelhill.requests.callers_gone:7|c" and the second does not
    And the second holds "dotterelhill.process.ready:1.0|g"
    And the second holds "dotterelhill.tenants.share.acme_org:0.25|g"
    And the second holds "dotterelhill.requests.seconds.desk.p99:0.2"
    And the counters are "metrics.undocumented.invented_callers_gone, requests.callers_gone"

  Scenario: A quantile deviates from the exact value by more than the stated accuracy
    Given local metrics
    When the values 1 to 1000 ms of "requests.seconds" are observed
    Then its p99 is within 2 percent of 0.99

  Scenario: The state loses values at a flush, or counts them twice
    Given local metrics
    When the values 1 to 1000 ms of "requests.seconds" are observed
    And the metrics are flushed
    And the values 1 to 1000 ms of "requests.seconds" are observed
    And the metrics are flushed
    And the metrics are flushed
    And the values 1 to 1000 ms of "requests.seconds" are observed
    Then the state has 3000 values with a mean of 0.5005

  Scenario: A log message with a line break is read as two lines
    When a line with the text "first\nsecond" and field peer "caxias-2" is logged
    Then one JSON line has both and names the process
