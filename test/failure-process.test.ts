import { testScenarios } from '../script/failure/tests.js'

testScenarios([
  { names: ['kill-entry'], seed: 1 },
  { names: ['pause-plain-agent'], seed: 2 },
  { names: ['stop-entry', 'stop-model-agent'], seed: 3 },
  { names: ['replace-agent'], seed: 4 }
])
