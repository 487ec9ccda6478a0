import type { Disturbances } from './disturbances.js'
import type { SoakTestbed } from './soak-testbed.js'

/** Whether no fault affected a gateway, and a majority of the registries with their links, from `from` to `to`. */
export function isInTouch (disturbances: Disturbances, { registries }: SoakTestbed, gateway: string, from: number, to: number): boolean {
  if (disturbances.wasDisturbed([gateway], from, to)) return false
  const disturbed = registries.filter(({ name }, i) => disturbances.wasDisturbed([name, `link ${i}`], from, to))
  return 2 * disturbed.length < registries.length
}
