Feature: Policies of placement, preemption, interference, throttling and loss, called without I/O

  Scenario: Tasks of a team that are queued first do not starve those of other teams
    Given a scheduler with 2 workers of 8 processors
    And team "t" has 30 pending tasks of 1 processors in job "first"
    And team "u" has 30 pending tasks of 1 processors in job "second"
    When the scheduler decides
    Then it assigns 8 tasks of "first" and 8 of "second"

  Scenario: A team's quota limits its tasks even when workers are idle
    Given a scheduler with 2 workers of 8 processors
    And the quota of team "t" is 3 processors
    And team "t" has 30 pending tasks of 1 processors in job "first"
    When the scheduler decides
    Then it assigns 3 tasks of "first" and 0 of "second"

  Scenario: A dominant share counts memory like processors
    Given a scheduler with 2 workers of 8 processors
    And team "t" has 30 pending tasks of 1 processors and 10 GB in job "first"
    And team "u" has 30 pending tasks of 1 processors in job "second"
    When the scheduler decides
    Then it assigns fewer tasks of "first" than of "second"

  Scenario: Urgent tasks do not wait behind normal tasks of another team
    Given a scheduler with 1 workers of 8 processors
    And team "t" has 30 pending tasks of 1 processors in job "first"
    And team "u" has 4 urgent pending tasks of 1 processors in job "second"
    When the scheduler decides
    Then it assigns 4 tasks of "first" and 4 of "second"

  Scenario: A task for which no worker has room does not delay smaller ones
    Given a scheduler with 1 workers of 8 processors
    And team "t" has 2 pending tasks of 7 processors in job "first"
    And team "t" has 5 pending tasks of 1 processors in job "second"
    When the scheduler decides
    Then it assigns 1 tasks of "first" and 1 of "second"

  Scenario: Tasks of a job that must share a rack are not placed in two racks
    Given a scheduler with 4 workers of 8 processors in 2 racks
    And team "t" has 10 pending tasks of 4 processors in job "first" for one rack
    When the scheduler decides
    Then it assigns 4 tasks of "first" and 0 of "second"
    And the tasks of "first" are in 1 rack

  Scenario: A task does not start in a failure domain that its job excludes
    Given a scheduler with 2 workers of 8 processors
    And team "t" has 30 pending tasks of 1 processors in job "first" for failure domain "d1" only
    When the scheduler decides
    Then it assigns 8 tasks of "first" and 0 of "second"

  Scenario: A job that uses more than it declares does not overload a worker
    Given a scheduler with 1 workers of 8 processors
    And tasks of "first" were measured with 4 processors
    And team "t" has 8 pending tasks of 1 processors in job "first"
    When the scheduler decides
    Then it assigns 2 tasks of "first" and 0 of "second"

  Scenario: The margin of a planned size follows the variation of the measured use
    When a steady and a varying job of the same mean use are measured
    Then the varying job is planned larger

  Scenario: Preemption does not evict the task that would lose the most work
    When room for 4 processors is made among tasks that lose 10, 600 and 20 s
    Then the tasks that lose 10 and 20 s are evicted

  Scenario: Preemption does not evict a task whose resources are not needed
    When room for 4 processors is made among a cheap task of 1 and a costly one of 4 processors
    Then only the costly one is evicted

  Scenario: A job whose effect on a service is unknown is tried on few workers first
    Given a scheduler with 8 workers of 8 processors
    And service "desk" runs on every worker with load 0.8
    And team "t" has 60 pending tasks of 1 processors in job "first"
    When the scheduler decides
    Then it assigns 3 tasks of "first" and 0 of "second"

  Scenario: A job that was measured not to slow a service may fill the workers
    Given a scheduler with 8 workers of 8 processors
    And service "desk" runs on every worker with load 0.8
    And "first" was measured to slow "desk" by 1.0 with noise
    And team "t" has 60 pending tasks of 1 processors in job "first"
    When the scheduler decides
    Then it assigns at least 24 tasks of "first"

  Scenario: A job that was measured to slow a service is not placed beside it until it has waited long
    Given a scheduler with 4 workers of 8 processors
    And service "desk" runs on every worker with load 0.8
    And "first" was measured to slow "desk" by 1.5 with noise
    And team "t" has 60 pending tasks of 1 processors in job "first"
    When the scheduler decides
    Then it assigns 0 tasks of "first" and 0 of "second"
    When the scheduler decides 130 s later
    Then it assigns 1 tasks of "first" and 0 of "second"

  Scenario: Urgent tasks are placed beside a service that they slow down
    Given a scheduler with 4 workers of 8 processors
    And service "desk" runs on every worker with load 0.8
    And "first" was measured to slow "desk" by 1.5 with noise
    And team "t" has 6 urgent pending tasks of 1 processors in job "first"
    When the scheduler decides
    Then it assigns 6 tasks of "first" and 0 of "second"

  Scenario: The estimates separate the effects of two jobs that are measured together with noise
    When workers with different mixes of a harmful and a harmless job are measured with noise
    Then the harmful job's effect is about 1.3 and the harmless one's about 1.0

  Scenario: An estimate without new measurements becomes as uncertain as the prior
    When a pair is measured often and then not for an hour
    Then its variance is that of a pair without measurements

  Scenario: A slowed service first leads to throttling, much later to a move, and to no oscillation
    When a service stays slowed to 1.5 for 200 s beside a harmful and a harmless task
    Then the harmful task is throttled twice before it is moved, at least 60 s after the last throttle
    When the service is not slowed for 200 s beside a throttled task
    Then the task is released once in 60 s

  Scenario: A new holder adopts the reduced speeds that an earlier holder has set
    When a worker reports a task at a quarter of its speed and the service is not slowed for 200 s
    Then the task is released once in 60 s

  @single-place
  Scenario: A holder that resumes after a pause declares no task of a fenced worker lost before it reads the log
    Given a holder whose silent worker is fenced
    When it resumes 100 s later without having read the log
    Then it declares no task lost
    When it reads the log and finds its fence in place
    Then it declares the task lost
