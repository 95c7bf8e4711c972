/** Gossip among entries: whom to tell, of how many, and from which silence on a member counts as dead. */
import type { Member } from './members.js'

/** Time between two rounds, milliseconds: a fifth of the shortest silence after which a member counts as dead. */
export const roundMilliseconds = 500
/** Members told in one round: two nearby, since bytes between regions have a price, and one anywhere. */
export const fanOut = { sameDataCentre: 2, any: 1 } as const
/** Part of the members that one message tells of, and bounds of their number: one packet up to fourteen, three at most. */
const messageMembers = { part: 1 / 3, minimum: 4, maximum: 40 } as const
/** Silence after which a member counts as dead, milliseconds: five rounds, and under the time that callers' answers may name a dead one. */
const deadMilliseconds = { minimum: 2500, maximum: 5500 } as const
/** Usual times between two heartbeats of a member, as heard through others, after which it counts as dead (test fleet-decisions). */
const missedHeartbeats = 9

/** Members that one message tells of, among `members`. */
export function membersPerMessage (members: number): number {
  return Math.min(messageMembers.maximum, Math.max(messageMembers.minimum, Math.ceil(members * messageMembers.part)))
}

/** Silence after which one of `members` counts as dead, milliseconds. */
export function deadAfterMilliseconds (members: number): number {
  const beatsPerRound = (fanOut.sameDataCentre + fanOut.any) * (membersPerMessage(members) + 1)
  const usual = members / beatsPerRound * roundMilliseconds
  return Math.min(deadMilliseconds.maximum, Math.max(deadMilliseconds.minimum, usual * missedHeartbeats))
}

/** Members to tell in one round, drawn by chance. */
export function gossipTargets (members: readonly Member[], dataCentre: string, random: () => number): readonly Member[] {
  const near = sample(members.filter(member => member.dataCentre === dataCentre), fanOut.sameDataCentre, random)
  const rest = members.filter(member => !near.includes(member))
  return [...near, ...sample(rest, fanOut.sameDataCentre + fanOut.any - near.length, random)]
}

/** Some elements by chance. */
export function sample<Item> (items: readonly Item[], most: number, random: () => number): readonly Item[] {
  if (items.length <= most) return items
  const rest = [...items]
  return Array.from({ length: most }, () => rest.splice(Math.floor(random() * rest.length), 1)).flat()
}
