/** Which agents fetch a manifest from the origin: a few at once, and the others from them. */
import { rankMembers } from '../../utils/rendezvous.js'

/** Agents that ask the origin at once: two, so that one that is dead delays nobody. */
const firstAgents = 2
/** Time after which twice as many agents may ask it as before, milliseconds: an origin that answers has done so, and the answer has spread. */
const stepMilliseconds = 300
/** Steps after which all may ask it. */
const maximumSteps = 5

/** Time for which an agent waits for others to fetch a manifest before it asks the origin itself, milliseconds. */
export function manifestDelayMilliseconds (model: string, version: number, self: string, others: readonly string[]): number {
  const rank = rankMembers(`manifest/${model}/${version}`, [...new Set([self, ...others])]).indexOf(self)
  return rank < firstAgents ? 0 : stepMilliseconds * Math.min(maximumSteps, Math.floor(Math.log2(rank / firstAgents)) + 1)
}
