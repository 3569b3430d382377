Feature: Stored progress of a job

  Scenario Outline: A field of a task is missing from the stored progress, or is out of date there
    When 20 jobs go through 120 random changes each with seed <seed>
    Then the progress that is stored after each change restores the same tasks

    Examples:
      | seed |
      | 1    |
      | 2    |
      | 3    |

  Scenario Outline: Parts of the progress of a large job contradict each other when only some of them were stored
    # Guards against a write of several appends that ends after any of them.
    When a job of <count> tasks goes through 15 rounds of changes in records of <size> bytes, and writes end early, with seed <seed>
    Then each task is restored as it was stored by the newest write of its part
    And the progress took several parts

    Examples:
      | count | size  | seed |
      | 4000  | 16000 | 1    |
      | 4000  | 16000 | 2    |
      | 8000  | 30000 | 3    |
