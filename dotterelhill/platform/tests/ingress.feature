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

  Scenario Outline: A tenant over its share gets jobs stored, or is refused what it may always do
    Given no leader's message, and 4 jobs that were just accepted
    When <method> "<path>" is sent with key "good"
    Then the answer is <answer>

    Examples:
      | method | path                   | answer               |
      | POST   | /q/00000000000000a1    | 429 with Retry-After |
      | POST   | /q/0000000000000002    | 200                  |
      | DELETE | /q/00000000000000a1    | 200                  |
      | GET    | /q/                    | 200                  |
      | POST   | /open/00000000000000a1 | 200                  |

  Scenario Outline: A queue with too much work gets jobs stored, or refuses one that it accepted
    Given queues that admit few submissions, and a job that each of them has accepted
    When POST "<path>" is sent with key "<key>"
    Then the answer is <answer>
    And <count> appends were tried
    And each stored submission names the failure domain of the process

    Examples:
      | path                   | key  | answer               | count |
      | /q/00000000000000a1    | good | 429 with Retry-After | 2     |
      | /open/00000000000000a1 |      | 429 with Retry-After | 2     |
      | /q/0000000000000000    | good | 200                  | 3     |

  Scenario: Jobs are accepted until their memory ends each process that leads
    # Guards against review/3 by other jobs: each accepted job costs memory in every leader.
    Given a leader without memory for further jobs, and a job that was accepted before
    When POST "/q/00000000000000a1" is sent with key "good"
    Then the answer is 429 with Retry-After
    And 1 appends were tried
    And the refusals are counted as "clients.refused.fleet_full"
    When POST "/q/0000000000000000" is sent with key "good"
    Then the answer is 200
    When the leader has memory again
    And POST "/q/00000000000000a1" is sent with key "good"
    Then the answer is 200

  Scenario Outline: A job that can never start is accepted, or one that fits is refused
    Given a limit of <limit> thousandths of a processor
    When POST "/q/00000000000000a1" is sent with key "good"
    Then the answer is <answer>

    Examples:
      | limit | answer               |
      | 499   | 429 with Retry-After |
      | 500   | 200                  |
      | 0     | 200                  |

  Scenario Outline: Appends of one tenant occupy all connections to the store
    Given <count> appends of the tenant that wait
    When <method> "/q/00000000000000a1" is sent with key "good"
    Then the answer is <answer>

    Examples:
      | count | method | answer               |
      | 8     | POST   | 429 with Retry-After |
      | 8     | DELETE | 429 with Retry-After |
      | 7     | POST   | 200                  |

  Scenario: A refusal is neither logged nor counted
    Given a limit of 1 thousandths of a processor
    When POST "/q/00000000000000a1" is sent with key "good"
    Then the refusals are counted as "clients.refused.tenant_task_size"
    And the refusals are counted as "tenants.refused.t"
    And a line of the log names the tenant, a reason and when to retry

  Scenario: Thousands of tenants get a metric each
    When 60 tenants are refused a job
    Then 50 tenants and the others together have a metric

  Scenario: A request that the configuration does not allow leaves no trace of the version held
    Given its configuration was last confirmed 0.5 seconds ago
    When GET "/none/" is sent with key "good"
    Then the answer is 404
    And the refusals are counted as "clients.refused.no_queue"
    And a line of the log names the version held, the newest one known and how old they are

  Scenario Outline: A queue that was added while this process could not read the configuration is refused for good
    Given a deployment without tenants
    And its configuration was last confirmed <age> seconds ago
    When GET "/new/" is sent with key ""
    Then the answer is <answer>

    Examples:
      | age | answer               |
      | 5   | 503 with Retry-After |
      | 0   | 404                  |

  Scenario: A request waits for a newer configuration while ones that were sent later are decided by the older one
    Given a deployment without tenants
    And its configuration was last confirmed 5 seconds ago
    And the configuration with queue "new" arrives 0.2 seconds after the request
    When GET "/new/" is sent with key ""
    Then the answer is 503 with Retry-After

  Scenario Outline: A job that the store never accepts is repeated by its client until the deadline
    # Guards against LOST of review/1: a record that was refused for good was answered like a silence.
    Given the store <failure>
    When POST "/q/00000000000000a1" is sent with key "good"
    Then the answer is <answer>
    And 1 appends were tried

    Examples:
      | failure                               | answer               |
      | refuses each record for good          | 413                  |
      | stores nothing                        | 503 with Retry-After |
