Feature: Policy decisions, as plain calls

  Scenario: A team that is first in the queue does not starve the others
    Given a scheduler with 2 workers of 8 processors
    And team "t" has 30 pending tasks of 1 processors in job "first"
    And team "u" has 30 pending tasks of 1 processors in job "second"
    When it decides
    Then it assigns 8 tasks of "first" and 8 of "second"

  Scenario: A quota binds even when workers are idle
    Given a scheduler with 2 workers of 8 processors
    And the quota of team "t" is 3 processors
    And team "t" has 30 pending tasks of 1 processors in job "first"
    When it decides
    Then it assigns 3 tasks of "first" and 0 of "second"

  Scenario: A dominant share counts memory as much as processors
    Given a scheduler with 2 workers of 8 processors
    And team "t" has 30 pending tasks of 1 processors and 10 GB in job "first"
    And team "u" has 30 pending tasks of 1 processors in job "second"
    When it decides
    Then it assigns fewer tasks of "first" than of "second"

  Scenario: Urgent work does not wait behind normal work of another team
    Given a scheduler with 1 workers of 8 processors
    And team "t" has 30 pending tasks of 1 processors in job "first"
    And team "u" has 4 urgent pending tasks of 1 processors in job "second"
    When it decides
    Then it assigns 4 tasks of "first" and 4 of "second"

  Scenario: A task that fits nowhere now does not hold up smaller ones
    Given a scheduler with 1 workers of 8 processors
    And team "t" has 2 pending tasks of 7 processors in job "first"
    And team "t" has 5 pending tasks of 1 processors in job "second"
    When it decides
    Then it assigns 1 tasks of "first" and 1 of "second"

  Scenario: Tasks of a job that must share a rack do not spread over two
    Given a scheduler with 4 workers of 8 processors in 2 racks
    And team "t" has 10 pending tasks of 4 processors in job "first" for one rack
    When it decides
    Then it assigns 4 tasks of "first" and 0 of "second"
    And the tasks of "first" are in 1 rack

  Scenario: A task does not start in a failure domain that its job excludes
    Given a scheduler with 2 workers of 8 processors
    And team "t" has 30 pending tasks of 1 processors in job "first" for failure domain "d1" only
    When it decides
    Then it assigns 8 tasks of "first" and 0 of "second"

  Scenario: A job that uses more than it declares does not overload a worker
    Given a scheduler with 1 workers of 8 processors
    And tasks of "first" were measured with 4 processors
    And team "t" has 8 pending tasks of 1 processors in job "first"
    When it decides
    Then it assigns 2 tasks of "first" and 0 of "second"

  Scenario: The size margin follows the observed error
    When a steady and a varying job of the same mean use are measured
    Then the varying job is planned larger

  Scenario: Preemption spares the task with much lost work
    When room for 4 processors is made among tasks that lose 10, 600 and 20 s
    Then the tasks that lose 10 and 20 s are evicted

  Scenario: Preemption evicts no more than it needs
    When room for 4 processors is made among a cheap task of 1 and a costly one of 4 processors
    Then only the costly one is evicted

  Scenario: An unknown pair is tried on few workers before it spreads
    Given a scheduler with 8 workers of 8 processors
    And service "desk" runs on every worker with load 0.8
    And team "t" has 60 pending tasks of 1 processors in job "first"
    When it decides
    Then it assigns 3 tasks of "first" and 0 of "second"

  Scenario: A pair known as harmless fills the workers
    Given a scheduler with 8 workers of 8 processors
    And service "desk" runs on every worker with load 0.8
    And "first" was measured to slow "desk" by 1.0 with noise
    And team "t" has 60 pending tasks of 1 processors in job "first"
    When it decides
    Then it assigns at least 24 tasks of "first"

  Scenario: A pair known as harmful stays away until its job has waited long
    Given a scheduler with 4 workers of 8 processors
    And service "desk" runs on every worker with load 0.8
    And "first" was measured to slow "desk" by 1.5 with noise
    And team "t" has 60 pending tasks of 1 processors in job "first"
    When it decides
    Then it assigns 0 tasks of "first" and 0 of "second"
    When it decides 130 s later
    Then it assigns 1 tasks of "first" and 0 of "second"

  Scenario: Urgent tasks do not wait until their effect on services is known
    Given a scheduler with 4 workers of 8 processors
    And service "desk" runs on every worker with load 0.8
    And "first" was measured to slow "desk" by 1.5 with noise
    And team "t" has 6 urgent pending tasks of 1 processors in job "first"
    When it decides
    Then it assigns 6 tasks of "first" and 0 of "second"

  Scenario: The estimate finds the harmful one of two jobs from noisy sums
    When workers with different mixes of a harmful and a harmless job are measured with noise
    Then the harmful job's effect is about 1.3 and the harmless one's about 1.0

  Scenario: An old estimate loses its certainty
    When a pair is measured often and then not for an hour
    Then its uncertainty is that of an unknown pair

  Scenario: A slow service is answered by throttling first, a move much later, and no flapping
    When a service stays slowed to 1.5 for 200 s beside a harmful and a harmless task
    Then the harmful task is throttled twice before it is moved, at least 60 s after the last throttle
    When the service is fast for 200 s beside a throttled task
    Then the task is released once in 60 s

  Scenario: A new holder knows the speeds that an earlier one has set
    When a holder learns that a task runs at a quarter of its speed and the service is fast for 200 s
    Then the task is released once in 60 s

  @single-place
  Scenario: A holder that wakes with an old fence declares nothing lost before it has read the log
    Given a holder whose silent worker is fenced
    When it wakes 100 s later without having read the log
    Then it declares no task lost
    When it reads the log and finds its fence in place
    Then it declares the task lost
