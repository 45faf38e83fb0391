Feature: Parts of prompts that kill endpoints, with real processes

  Scenario Outline: Endpoints killed <stage> get few more such prompts
    # Guards against endpoints that are killed one after the other by prompts
    # with a common part, as an answer without a head shows no crash.
    Given a fleet with 4 entries and 10 model endpoints that a part of a prompt kills <stage>
    When 10 of 100 prompts have that part from 4 s on, for 18 s
    Then at most 3 of them reach endpoints later than 3 s after a fifth crash
    And half of the other prompts are answered after that

    Examples: stage
      | stage           |
      | before the head |
      | after the head  |
      | inside an event |
      | by an exit      |
