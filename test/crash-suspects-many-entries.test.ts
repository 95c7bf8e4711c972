/** Replays of requests that crash upstreams: parts of prompts, before 120 entries. */
import { checkReplays, manyEntriesCases } from './fakes/crash-replay-cases.js'

checkReplays(manyEntriesCases)
