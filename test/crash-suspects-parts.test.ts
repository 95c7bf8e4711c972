/** Replays of requests that crash upstreams: parts of prompts, before a few entries. */
import { checkReplays, partCases } from './fakes/crash-replay-cases.js'

checkReplays(partCases)
