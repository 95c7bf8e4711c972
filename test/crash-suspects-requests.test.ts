/** Replays of requests that crash upstreams: one request that comes again and again. */
import { checkReplays, requestCases } from './fakes/crash-replay-cases.js'

checkReplays(requestCases)
