Feature: Stored progress of a job

  Scenario Outline: A field of a task is missing from the stored progress, or is out of date there
    When 20 jobs go through 120 random changes each with seed <seed>
    Then the progress that is stored after each change restores the same tasks

    Examples:
      | seed |
      | 1    |
      | 2    |
      | 3    |
