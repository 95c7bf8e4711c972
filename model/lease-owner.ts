/** Naive variant of at-most-once execution: the holder of a key's lease runs its request, and keeps the outcome in memory only. */
import type { Action, Specification } from './explore.js'

interface Owner {
  readonly leaseUntil: number
  readonly phase: 'idle' | 'checked' | 'sent'
}

interface World {
  readonly now: number
  readonly owners: readonly Owner[]
  readonly requests: number
  readonly runs: number
}

const leaseTicks = 1
const lastTick = 3
const attempts = 2

/** Two instances; each takes the lease when the other's has expired, and checks it before it sends. A pause in between makes both run the request. */
export const leaseOwnerSpecification: Specification<World> = {
  initial: { now: 0, owners: [{ leaseUntil: 0, phase: 'idle' }, { leaseUntil: 0, phase: 'idle' }], requests: 0, runs: 0 },
  actionsOf: world => {
    const names = world.now < lastTick ? ['tick'] : []
    world.owners.forEach((owner, index) => {
      const isFree = world.owners.every((other, position) => position === index || other.leaseUntil <= world.now)
      if (isFree && owner.leaseUntil <= world.now) names.push(`lease ${index}`)
      if (owner.phase === 'idle' && owner.leaseUntil > world.now && world.requests < attempts) names.push(`check ${index}`)
      if (owner.phase === 'checked') names.push(`send ${index}`)
    })
    return names.map((type): Action => ({ type }))
  },
  next: (world, action) => {
    const [name, subject] = action.type.split(' ')
    if (name === 'tick') return { ...world, now: world.now + 1 }
    if (name === 'lease') return updateOwner(world, Number(subject), { leaseUntil: world.now + leaseTicks })
    if (name === 'check') return { ...updateOwner(world, Number(subject), { phase: 'checked' }), requests: world.requests + 1 }
    return { ...updateOwner(world, Number(subject), { phase: 'sent' }), runs: world.runs + 1 }
  },
  violationOf: world => world.runs > 1 ? 'the request ran twice' : undefined
}

function updateOwner (world: World, index: number, changed: Partial<Owner>): World {
  return { ...world, owners: world.owners.map((owner, position) => position === index ? { ...owner, ...changed } : owner) }
}
