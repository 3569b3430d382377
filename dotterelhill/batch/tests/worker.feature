Feature: The HTTP client of a worker tells answers, refusals and unknown effects apart

  Background:
    Given a stand-in worker on loopback

  Scenario: A run is started, reported, stopped and forgotten over HTTP
    When its lease is renewed for 5 s with holder token 3
    And task "sync@1/0" is started with token 10
    Then the answer is a run that is "running"
    And the capacity that it reports is 8 processors
    When task "sync@1/0" is stopped with token 10
    Then the answer is a run that is "stopped" with a checkpoint
    When task "sync@1/0" is forgotten with token 10
    Then the next report shows no run

  Scenario: A holder with an outdated token gets a refusal and no lease
    When its lease is renewed for 5 s with holder token 3
    And its lease is renewed for 5 s with holder token 2
    Then the answer is the refusal "holder_token"

  Scenario: A start without a lease, too late, above the capacity or for another boot is refused for good
    When task "sync@1/0" is started with token 10
    Then the answer is the refusal "no_lease"
    When its lease is renewed for 5 s with holder token 3
    And task "sync@1/0" is started with token 10
    Then the answer is the refusal "no_lease"
    When task "sync@1/1" is started 1 s too late with token 11
    Then the answer is the refusal "expired"
    When task "sync@1/2" with 9 processors is started with token 12
    Then the answer is the refusal "capacity"
    When task "sync@1/3" is started for boot "other" with token 13
    Then the answer is the refusal "boot"

  @single-place
  Scenario: A stop that arrives before its start makes the worker refuse the start
    When its lease is renewed for 5 s with holder token 3
    And task "sync@1/0" is stopped with token 10
    Then the answer is a run that is "never_started"
    When task "sync@1/0" is started with token 10
    Then the answer is the refusal "never_started"

  @single-place
  Scenario: Tasks stop with a checkpoint when the lease expires
    When its lease is renewed for 0.3 s with holder token 3
    And task "sync@1/0" is started with token 10
    And 0.6 s pass at the worker
    Then task "sync@1/0" is reported as "stopped" with a checkpoint

  Scenario Outline: Without a usable answer the effect of a message is unknown
    When the worker's fault mode is "<mode>"
    And its lease is renewed for 5 s with holder token 3
    Then the effect is unknown

    Examples:
      | mode         |
      | down         |
      | silent       |
      | lose_answers |

  Scenario: Usage is reported with a lag, per task and per service
    Given its usage lags by 0.2 s and service "desk" has load 0.5, slowed to 1.4 by "sync"
    When its lease is renewed for 5 s with holder token 3
    And task "sync@1/0" is started with token 10
    And its lease is renewed for 5 s with holder token 3
    Then the report shows no use of "sync@1/0"
    When 0.5 s pass at the worker
    And its lease is renewed for 5 s with holder token 3
    Then the report shows use of "sync@1/0" and a slow-down of "desk" of 1.2
