Feature: The whole path under failure, as separate processes

  @graceful-stop
  Scenario: A planned stop of an entry process cuts a request in flight
    Given a fleet whose minions work 400 ms on each request
    And callers that send 30 requests a second
    When an entry process gets SIGTERM after 2 s and the balancer leaves it out
    And 3 s pass
    Then every request was answered

  @manifest
  Scenario: A failure domain that is cut off from the log misses a manifest
    Given a fleet whose minions work 5 ms on each request
    When the entry processes of pelotas are cut off from the log
    And a manifest is published
    Then every entry process has it in force within 5 s
    When the way to the log is silent for the entry processes of pelotas
    And a manifest is published
    Then every entry process has it in force within 5 s

  @domain-out
  Scenario: A task starts in a failure domain that is out but can't hear of it
    Given a fleet whose minions work 5 ms on each request
    And a job of 40 tasks of 2 s
    When the way to the log is silent for the entry processes of gramado
    And a manifest takes gramado out
    And the job has finished within 90 s
    Then no run started in gramado more than 5 s after the manifest
    And each task ran in one place at a time and finished once

  @resume-once @single-place
  Scenario: A log outage loses or doubles tasks, or stops requests
    Given a fleet whose minions work 5 ms on each request
    And a job of 16 tasks of 6 s
    And callers that send 30 requests a second
    When the log is down for 15 s
    And the job has finished within 90 s
    Then every request was answered
    And each task ran in one place at a time and finished once

  @manifest
  Scenario: A VM that is replaced during a log outage stays without manifest and ledger
    Given a fleet whose minions work 5 ms on each request
    When the log goes down
    And an entry process is killed and started anew
    Then the new process is ready within 20 s with the manifest in force
    And it answers a request through its peers

  @single-place @at-most-once
  Scenario: A paused entry process goes on with what its successor has taken over
    Given a fleet whose minions work 100 ms on each request
    And a job of 30 tasks of 8 s
    And callers that send 60 requests a second
    When an entry process is paused for 50 s and left out by the balancer
    And it resumes, is balanced again and 5 s pass
    Then no minion had more requests or connections than it may
    And every request was answered
    When the job has finished within 90 s
    Then each task ran in one place at a time and finished once
    And the recorded traces keep every stated outcome when they are replayed

  @single-place @resume-once
  Scenario: All entry VMs are replaced at once and a finished task starts again
    Given a fleet whose minions work 5 ms on each request
    And a job of 24 tasks of 5 s
    When 8 tasks have finished
    And every entry process is killed and started anew
    And the job has finished within 120 s
    And 5 s pass
    Then each task ran in one place at a time and finished once
