import { testScenarios } from '../script/failure/scenario-tests.js'

testScenarios([
  { names: ['kill-entry', 'kill-plain-agent'], seed: 1 },
  { names: ['stutter-plain-agent', 'service-loses-answers'], seed: 2 },
  { names: ['stop-entry', 'stop-model-agent'], seed: 3 },
  { names: ['replace-agent'], seed: 4 },
  { names: ['burst', 'crash-engine'], seed: 5 }
])
